// Package usage decides when the requests of a window are reported, so that a
// window is never reported with two different counts: the counts are frozen in
// the platform's store before they are sent, and whoever takes the duty over
// repeats exactly those. It is a plain decision: the time and answers in,
// actions out.
package usage
