// Package daemon wires the decisions to the network: a goroutine for each duty
// owns the duty's state, bounded rings join the duties, and request handlers
// read immutable snapshots.
package daemon
