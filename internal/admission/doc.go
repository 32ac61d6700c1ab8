// Package admission decides which requests a daemon admits, queues or refuses.
// It enforces the limits of each workspace (request rate, token rate with debt,
// concurrency with one expiring lease per request) and, for each pool of
// endpoints, a bound on requests in flight with a fair queue in front of it.
//
// The limits follow "Rate Limiting Per User in ADK Java, in depth".
// docs/adr/0007-limits.md lists the differences and the measurements.
//
// The package has no clock and no goroutines: methods take the current time and
// return decisions. An Admission is not safe for concurrent use.
package admission
