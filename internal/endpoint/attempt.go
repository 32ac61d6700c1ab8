package endpoint

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// attempt tracks the connections of one request, to prove that nothing of it was
// written.
type attempt struct {
	mu             sync.Mutex
	conn           *conn
	writtenBefore  int64  // bytes written to conn before this request
	writtenEarlier bool   // the request may have been written to an earlier connection
	endRequest     func() // records on conn that the request has been written; nil before conn is known
}

// trace returns a context that makes a request report its connections to a.
func (a *attempt) trace(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { a.gotConn(info.Conn) },
		WroteRequest: func(httptrace.WroteRequestInfo) { a.wroteRequest() },
	}
	return httptrace.WithClientTrace(ctx, trace)
}

func (a *attempt) gotConn(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	own, ok := c.(*conn)
	if !ok {
		a.writtenEarlier = true // not a connection of this package, so whether it was written is unknown
		return
	}
	// net/http may have tried another connection before, for GET even after it
	// wrote a part of the request there. The proof must cover each connection.
	a.writtenEarlier = a.writtenEarlier || !a.unwritten()
	a.conn = own
	a.writtenBefore = own.bytesWritten()
	a.endRequest = own.startRequest()
}

// wroteRequest records that the request has been written, or that writing it has failed.
func (a *attempt) wroteRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endRequest != nil {
		a.endRequest()
	}
}

// verdict returns the verdict after the round trip has failed. A request that never
// got a connection wasn't written.
func (a *attempt) verdict() verdict.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writtenEarlier || !a.unwritten() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// unwritten reports whether nothing of the request was written to the current
// connection, and prevents later writes to it if so. The caller holds mu.
func (a *attempt) unwritten() bool {
	return a.conn == nil || a.conn.sealUnwritten(a.writtenBefore)
}
