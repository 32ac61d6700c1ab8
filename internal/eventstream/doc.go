// Package eventstream reads streams of server-sent events and finds the first byte that can't belong to
// one, so that nothing after it is passed on. Parser gives out the bytes of whole events, Reader the fields
// of one event at a time; both check lines in the same way. Lines end in LF or CRLF, not in a lone CR.
// Source: WHATWG HTML, section "Server-sent events". The package has no clock, goroutine or socket.
package eventstream
