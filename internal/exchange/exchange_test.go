package exchange

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// pieceBytes is the length of the largest piece.
const pieceBytes = 64 << 10

// largeHandler gives answers of the largest size.
type largeHandler struct{}

func (largeHandler) Report(Report) Reply {
	return Reply{Endpoints: feed.Update{Items: []feed.Item{{Spec: make([]byte, pieceBytes)}}}}
}

func (largeHandler) Fetch(w spread.Want) (spread.Piece, error) {
	return spread.Piece{Version: w.Version, Size: pieceBytes, Data: make([]byte, pieceBytes)}, nil
}

// serveOne serves calls with a largeHandler on one connection.
func serveOne(ctx context.Context, conn net.Conn) error {
	mux := drpcmux.New()
	if err := exchangepb.DRPCRegisterExchange(mux, &server{handler: largeHandler{}}); err != nil {
		return err
	}
	return drpcserver.New(mux).ServeOne(ctx, conn)
}

// echoHandler gives answers that contain values of the call.
type echoHandler struct{}

func (echoHandler) Report(r Report) Reply {
	return Reply{ConfigVersion: r.ConfigVersion + 1, Holder: Holder{Daemon: r.Daemon, Token: 3}}
}

func (echoHandler) Fetch(w spread.Want) (spread.Piece, error) {
	return spread.Piece{Version: w.Version, Base: w.Have, Size: 100, Offset: w.Offset, Data: []byte("rest")}, nil
}

func TestReportAndFetchOverTCP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, l, echoHandler{})
	}()
	c := NewClient()
	for range 3 {
		reply, err := c.Report(t.Context(), l.Addr().String(), &Report{Daemon: "a", ConfigVersion: 4})
		assert.NilError(t, err)
		assert.Equal(t, reply.ConfigVersion, uint64(5))
		assert.Equal(t, reply.Holder.Daemon, fleet.DaemonID("a"))
	}
	assert.Equal(t, len(c.conns), 1)
	piece, err := c.Fetch(t.Context(), l.Addr().String(), spread.Want{Have: 3, Version: 4, Offset: 70})
	assert.NilError(t, err)
	assert.DeepEqual(t, piece, spread.Piece{Version: 4, Base: 3, Size: 100, Offset: 70, Data: []byte("rest")})
	assert.Equal(t, len(c.conns), 2)
	c.KeepOnly(nil) // must not close the connection for fetches
	assert.Equal(t, len(c.conns), 1)
	c.CloseFetches()
	assert.Equal(t, len(c.conns), 0)
	cancel()
	<-served
}

// A hub accepts connections and never answers. A report must time out, and its connection
// must not be reused.
func TestCallToUnresponsiveHubTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := NewClient()
	_, err = c.Report(t.Context(), l.Addr().String(), &Report{Daemon: "a"})
	assert.Assert(t, err != nil)
	assert.Equal(t, len(c.conns), 0)
}

// newSlowClient returns a client that receives a packet of a server's bytes at each pause.
func newSlowClient(t *testing.T, packet int, pause time.Duration) *Client {
	client, server := net.Pipe()
	served := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { served <- serveOne(ctx, server) }()
	c := NewClient()
	c.Dial = func(context.Context, string) (net.Conn, error) { return &slowConn{client, packet, pause}, nil }
	t.Cleanup(func() {
		c.CloseFetches()
		c.KeepOnly(nil)
		cancel()
		<-served
	})
	return c
}

// slowConn is a connection that pauses after each read of up to packet bytes.
type slowConn struct {
	net.Conn
	packet int
	pause  time.Duration
}

func (s *slowConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p[:min(len(p), s.packet)])
	time.Sleep(s.pause)
	return n, err
}

// A piece takes 1.3 s over a link that is busy with other traffic. If the length of a call
// were limited to ReplyTimeout, the piece would be requested again without end, and the
// daemon's configuration would stay outdated. The same holds for a long list in the reply
// to a report.
func TestSlowReplyIsNotCutOffWhileItProgresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSlowClient(t, 4<<10, 80*time.Millisecond)
		piece, err := c.Fetch(t.Context(), "a", spread.Want{Version: 4})
		assert.NilError(t, err)
		assert.Equal(t, len(piece.Data), pieceBytes)
	})
	synctest.Test(t, func(t *testing.T) {
		c := newSlowClient(t, 4<<10, 80*time.Millisecond)
		reply, err := c.Report(t.Context(), "a", &Report{Daemon: "a"})
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Endpoints.Items[0].Spec), pieceBytes)
	})
	synctest.Test(t, func(t *testing.T) {
		c := newSlowClient(t, 1<<10, 300*time.Millisecond) // too slow for the limit on the whole call
		began := time.Now()
		_, err := c.Report(t.Context(), "a", &Report{Daemon: "a"})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, time.Since(began) < 12*ReplyTimeout, time.Since(began))
	})
}

// Guards against a list that never arrives, where its hub takes longer to make it than a
// call waits for the first byte.
func TestWaitForFirstByteDoublesAfterATimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient()
		ctx, cancel := context.WithCancel(t.Context())
		var served sync.WaitGroup
		c.Dial = func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			served.Go(func() { _ = serveOne(ctx, server) })
			return &lateConn{client, time.Second}, nil
		}
		calls := 1
		for ; ; calls++ {
			if _, err := c.Report(t.Context(), "a", &Report{Daemon: "a"}); err == nil {
				break
			}
			assert.Assert(t, calls < 4, "no answer in %d calls", calls)
		}
		assert.Equal(t, calls, 3) // which wait 0.4, 0.8 and 1.6 s
		assert.Equal(t, c.boundsFor(connKey{address: "a"}), defaultBounds)
		c.KeepOnly(nil)
		cancel()
		served.Wait()
	})
}

// lateConn is a connection whose first read is delayed.
type lateConn struct {
	net.Conn
	delay time.Duration
}

func (l *lateConn) Read(p []byte) (int, error) {
	time.Sleep(l.delay)
	l.delay = 0
	return l.Conn.Read(p)
}

// fleetReport returns the report of a daemon in a large fleet.
func fleetReport(i int) Report {
	r := Report{
		Daemon: fleet.DaemonID(fmt.Sprintf("5-%036d", i)), WallTime: start,
		Soft: relay.SoftState{
			Spent: map[fleet.WorkspaceID]float64{}, Load: balance.Loads{},
			Work: map[string]relay.Work{"engines": {Requests: 1}, "services": {Requests: 1}},
		},
		Windows: map[uint64]RequestCounts{},
	}
	for w := range 16 {
		r.Soft.Spent[fleet.WorkspaceID(fmt.Sprint("workspace", w))] = 1e6
	}
	for e := range 24 {
		r.Soft.Load[rendezvous.ShortKeyOf(fmt.Sprintf("i-%010d", (i*7+e)%690))] = balance.Load{Requests: 1, PendingPrefill: 800}
	}
	for w := range uint64(benchWindows) {
		r.Windows[w] = RequestCounts{"workspace1": 3, "workspace2": 5}
	}
	return r
}

// benchWindows is the number of usage windows in a report.
const benchWindows = 4

// BenchmarkHub measures the handling of one report by the hub of a fleet: decoding, sums,
// and encoding of the reply.
func BenchmarkHub(b *testing.B) {
	for _, n := range []int{9, 63, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := NewHub(reportInterval)
			for i := range n {
				h.Add(start, 0, fleetReport(i))
			}
			r := fleetReport(0)
			report := encodeReport(&r)
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				decoded := decodeReport(report)
				h.Add(start, time.Second, decoded)
				reply := Reply{Soft: relay.SoftState{Spent: h.Spent(start, decoded.Daemon)}, Loads: h.Loads(start, decoded.Daemon)}
				bytes = sizeOf(encodeReply(&reply))
			}
			b.ReportMetric(float64(sizeOf(report)), "B/report")
			b.ReportMetric(float64(bytes), "B/sum")
		})
	}
}

func sizeOf(m proto.Message) int { return proto.Size(m) }
