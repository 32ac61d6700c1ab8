package answerhead

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport sends requests and refuses answers whose heads are invalid, with an *Error. Their connections aren't used
// again. It is safe for concurrent use.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a transport that sends requests by another one, by http.DefaultTransport if that is nil.
func NewTransport(base http.RoundTripper) *Transport {
	if base == nil {
		base = http.DefaultTransport
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: checkInformational,
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if invalid := checkFinal(resp); invalid != nil {
		if conn != nil {
			_ = conn.Close() // net/http keeps it where the answer has no body
		}
		_ = resp.Body.Close()
		return nil, invalid
	}
	return resp, nil
}

// checkFinal checks the head of an answer that no other one to the request follows.
func checkFinal(resp *http.Response) *Error {
	if err := Check(resp); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return newError(InvalidStatus, resp.Status)
	}
	return nil
}

// checkInformational checks the head of an answer that is followed by another one. An error ends the request.
func checkInformational(_ int, h textproto.MIMEHeader) error {
	if err := checkNames(h); err != nil {
		return err
	}
	return nil
}

// CloseIdleConnections closes the connections that aren't in use.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
