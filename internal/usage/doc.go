// Package usage decides when the request counts of a time window are reported to
// the platform. A window must never be reported with two different counts, so the
// counts are frozen in the platform's store before they are sent, and the next
// daemon that takes over the reporting resends exactly those. The package does no
// I/O: methods take the time and the results of calls, and Next returns the next
// call.
package usage
