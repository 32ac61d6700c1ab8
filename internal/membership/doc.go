// Package membership decides which daemons are alive, leaving or gone. It is
// soft state, built by daemons probing each other: the SWIM protocol (Das,
// Gupta and Motivala, 2002) inside a region, with three additions:
//
//   - the loss of a data centre is one versioned statement that lies over its
//     members' records, and one statement of a member that answers takes it back;
//   - daemons of other regions are not probed: a few bridges for each region
//     exchange changes and a counter that shows whether the region is reachable;
//   - gaps are healed by comparing hashes of the member table, which every
//     packet carries, and fetching only the parts that differ.
//
// The package is plain state: methods take the time and an event and return
// actions. Packet sizes are bounded, and the packets a daemon sends a second do
// not depend on the number of daemons.
package membership
