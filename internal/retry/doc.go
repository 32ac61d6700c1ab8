// Package retry bounds the sends beyond the first of each request, for all
// daemons together: a share of the requests of a window and a small constant.
// Every daemon keeps to its part without asking the others, so that the sum
// holds also when they cannot hear each other. It is a plain decision.
package retry
