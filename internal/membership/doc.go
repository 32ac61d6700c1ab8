// Package membership maintains each daemon's table of which daemons are alive,
// suspect, leaving or gone (Dead or Left). The table is soft state. Inside a
// region it is built by the SWIM protocol (Das, Gupta and Motivala, 2002), with
// three additions:
//
//   - the loss of a data centre is a single versioned update that overrides the
//     states of its members; a higher version from a member that is up revokes it;
//   - daemons of other regions are not probed regularly: in each region a few
//     daemons, the bridges, exchange updates with the other regions and a
//     heartbeat counter that shows whether a region is reachable;
//   - missing updates are repaired by anti-entropy: every packet carries a hash
//     of the sender's member table, and only the buckets that differ are fetched.
//
// The package is a deterministic state machine without I/O: methods take the
// time and an event and return actions. Packet sizes are bounded, and the number
// of packets that a daemon sends per second does not depend on the number of
// daemons.
package membership
