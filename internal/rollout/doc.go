// Package rollout decides how a service moves from one version of its endpoints to
// another: which share of its requests the new version gets, when it is rolled back as
// bad, and when the old one is no longer needed. The decider of one daemon decides for
// the whole fleet, from the reports of all daemons; every daemon divides its requests
// by the decider's splits while these are fresh. The package has no goroutine, does no
// I/O and reads no clock.
package rollout
