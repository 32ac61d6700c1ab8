// Package routing chooses the endpoint of each attempt. A choice goes through
// filters (which endpoints may serve the request at all), candidates (a
// bounded number of those, whatever the fleet's size), scorers (what each
// candidate would cost, in tokens) and a picker, which takes the cheapest.
//
// A Router is a plain type without clock, goroutine or lock: its owner passes
// the time and the events in. All daemons that know the same endpoints rank
// them alike for a prompt, so they agree on where a conversation goes without
// a shared index; cache events and load reports are late and lossy
// corrections.
package routing
