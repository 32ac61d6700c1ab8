// Package eventstream reads streams of server-sent events and finds the first byte that can't belong to
// one, so that nothing after it is passed on. Lines end in LF or CRLF. Source: WHATWG HTML, section
// "Server-sent events". The package is plain decision logic: no clock, goroutine or socket.
package eventstream
