// Package roster keeps the endpoints that the platform's registry lists, in
// the order of its changes, through outages of the registry. It is a plain
// decision: events and the time in, a snapshot out.
package roster
