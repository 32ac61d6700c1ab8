// Package relay carries a caller's request to an endpoint of its route's
// service and the endpoint's answer back, byte for byte: which endpoint, how
// often, for how long, and what the caller is told where none answers.
//
// What is decided stands apart from what is done: next decides from an
// attempt's end alone, and routing, limits and the retry budget are packages of
// their own. The protocols towards callers and endpoints are interfaces, which
// the adapter of a platform implements.
package relay
