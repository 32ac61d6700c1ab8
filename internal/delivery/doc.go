// Package delivery records to which endpoints and daemons a request was sent, and what is known of
// each of these deliveries. From that record alone follows whether its caller may be answered that
// the request was not run.
package delivery
