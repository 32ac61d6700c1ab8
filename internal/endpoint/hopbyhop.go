package endpoint

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the header fields that apply to one connection (RFC 9110,
// 7.6.1), and those that clients are known to send without listing them in
// Connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Http2-Settings", "Expect",
}

// withoutHopByHop returns a copy of h without the hop-by-hop fields.
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

// forwarded returns the header to send to an endpoint for a caller's request. The
// caller's credentials are for this system, so they are left out. The length is set
// from the buffered body.
func forwarded(h http.Header) http.Header {
	out := withoutHopByHop(h)
	out.Del("Authorization")
	out.Del("Cookie")
	out.Del("Content-Length")
	if out.Get("User-Agent") == "" {
		out.Set("User-Agent", "") // an empty value keeps net/http from adding its own
	}
	return out
}
