// Package admission decides which requests a daemon takes, which wait and
// which are refused at once: limits of each workspace (request rate, token rate
// with debt, concurrency with expiring leases by request id) and, per pool of
// endpoints, a bound on requests in flight with a fair queue before it.
//
// The limits' shapes are those of "Rate Limiting Per User in ADK Java, in
// depth". What differs here, and the figures for it, are in docs/adr/0007-limits.md.
//
// Everything is driven by the caller: methods take now, and return decisions.
// An Admission is not safe for concurrent use; one duty owns it.
package admission
