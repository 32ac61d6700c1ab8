package endpoint

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection (RFC 9110, 7.6.1), with
// those that clients are known to send without naming them in Connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Http2-Settings", "Expect",
}

// withoutHopByHop returns a copy of h for the next hop.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// forwarded returns the headers of a caller's request for an endpoint. The
// caller's credential was meant for this system, so no endpoint sees it. The
// length is the buffered body's.
func forwarded(h http.Header) http.Header {
	out := withoutHopByHop(h)
	out.Del("Authorization")
	out.Del("Cookie")
	out.Del("Content-Length")
	if out.Get("User-Agent") == "" {
		out.Set("User-Agent", "") // net/http would add its own
	}
	return out
}
