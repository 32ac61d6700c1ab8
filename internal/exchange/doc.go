// Package exchange spreads soft state between daemons: what each has let in of
// every workspace's limit, the load it has on every endpoint, the requests that
// began, its clock, and the version of its configuration.
//
// Two daemons are the hubs, the same for all that see the same fleet. Every
// daemon tells both its part a few times a second and gets the sum of the
// others' back. A daemon's messages and bytes don't grow with the fleet, but
// for a hub's. Where a hub dies, the other one has what it had.
package exchange
