// Package exchange shares soft state between daemons: what each has admitted against
// every workspace's limit, its load on every endpoint, the number of requests that it has
// started, its wall-clock time, and the version of its configuration.
//
// Two daemons act as hubs; all daemons with the same view of the fleet choose the same
// ones. Every daemon sends both hubs a report a few times a second, and a hub replies with
// the sum of the other daemons' reports. So the messages and bytes of a daemon that is not
// a hub don't grow with the fleet. If a hub fails, the other one has the same state.
//
// A large fleet has several pairs of hubs, which relay the reports to each other. There, a
// daemon sends most of its reports to one hub of its pair only.
package exchange
