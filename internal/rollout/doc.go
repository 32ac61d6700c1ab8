// Package rollout decides how a service moves from one version of its endpoints to
// another: which share of its requests the new version gets, when it is found to be
// bad, and when the old one is no longer needed. One daemon decides for the fleet,
// from what all daemons counted; every daemon follows its word while that is fresh.
// It has no clock, no goroutine and no I/O.
package rollout
