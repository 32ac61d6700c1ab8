// Package relay forwards a caller's request to an endpoint of its route's service
// and returns the endpoint's answer byte for byte. It decides which endpoint gets
// the request, how often it is sent, how long each attempt may take, and what the
// caller gets if no endpoint answers.
//
// Decisions are separate from I/O: next decides from an attempt's result alone, and
// routing, limits and the retry budget are packages of their own. The protocols
// towards callers and endpoints are interfaces, which the adapter of a platform
// implements.
package relay
