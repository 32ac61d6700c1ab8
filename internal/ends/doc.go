// Package ends detects crashes of endpoints. When connections to an endpoint end
// early, it probes the endpoint, and records a crash with the requests that may
// have caused it.
package ends
