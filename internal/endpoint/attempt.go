package endpoint

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// attempt follows one request to its connection, for the proof that nothing
// of it was written.
type attempt struct {
	mu             sync.Mutex
	conn           *conn
	writtenBefore  int64 // bytes that the connection had written before
	writtenEarlier bool  // bytes of the request left on an earlier connection
}

// trace makes a request with the returned context report its connection.
func (a *attempt) trace(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.gotConn(info.Conn) }}
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
		a.writtenEarlier = true // nothing is known of this connection, so there is no proof
		return
	}
	// net/http may have sent the request on another connection before, for GET
	// even after bytes of it had left. The proof must cover each.
	a.writtenEarlier = a.writtenEarlier || !a.unwritten()
	a.conn = own
	a.writtenBefore = own.bytesWritten()
}

// verdict is called once the round trip has failed. A request that never got
// a connection wasn't written.
func (a *attempt) verdict() verdict.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writtenEarlier || !a.unwritten() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// unwritten proves that nothing of the request left on the present connection.
// The caller holds mu.
func (a *attempt) unwritten() bool {
	return a.conn == nil || a.conn.sealUnwritten(a.writtenBefore)
}
