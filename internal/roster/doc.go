// Package roster keeps the list of endpoints in the platform's registry. It applies
// the registry's changes in order, and keeps endpoints through an outage of the
// registry. It does no I/O: methods take events and the time, and Snapshot returns
// the result.
package roster
