package node

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// slowLink is a link on which a machine receives at a bounded rate, over all its
// connections together.
type slowLink struct {
	mu     sync.Mutex
	idleAt time.Time // when the bytes received so far have passed
	bytes  float64   // a second
}

// pass waits until n more bytes have passed.
func (l *slowLink) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(n) / l.bytes * float64(time.Second)))
	until := l.idleAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// slowConn is a connection behind a slow link.
type slowConn struct {
	net.Conn
	link *slowLink
}

const packetBytes = 8 << 10

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	c.link.pass(n)
	return n, err
}

// behindLink puts a daemon behind a link, on a machine of the lowest strength.
func behindLink(link *slowLink) func(n *Node) {
	return func(n *Node) {
		n.id = newID(LimitSettings{})
		dial := n.peers.client.Dial
		n.peers.client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &slowConn{conn, link}, nil
		}
	}
}

// cutStore is a store that refuses one daemon's calls while cut is set.
type cutStore struct {
	objects.Store
	cut atomic.Bool
}

func (s *cutStore) List(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
	if s.cut.Load() {
		return nil, 0, errDown
	}
	return s.Store.List(ctx, kind)
}

func (s *cutStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	if s.cut.Load() {
		return nil, 0, errDown
	}
	changes, next, err := s.Store.Watch(ctx, kind, after, wait)
	if s.cut.Load() { // the answer to a watch that began before is lost as well
		return nil, 0, errDown
	}
	return changes, next, err
}

// largeText returns a configuration about as large as the store accepts, which hardly
// compresses.
func largeText(version string) json.RawMessage {
	const size = 900 << 10
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, size/2)
	for i := range text {
		text[i] = byte(random.Uint32())
	}
	return json.RawMessage(version + " " + hex.EncodeToString(text))
}

// A configuration of 0.9 MB takes a link of 10 Mbit/s 0.7 s. Guards against timeouts that
// are shorter than the transfer: if a hub's answer is cut after 0.4 s, or a list of the
// store after 1.5 s while the hubs' answers use the same link, each attempt starts again
// from the beginning, and the daemon routes by the old version for minutes while it
// receives at the link's full rate.
func TestLargeConfigurationReachesADaemonBehindASlowLink(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitReady()
	f.awaitHolder() // the hubs must be chosen before the weak daemon starts
	store := &cutStore{Store: f.store}
	link := &slowLink{bytes: 10e6 / 8}
	weak := f.addWith(store, behindLink(link))
	f.awaitReady()
	store.cut.Store(true)
	_, err := f.store.Replace(t.Context(), "config", "main", 0, largeText("2"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if weak.Table().Version == 2 {
			return poll.Success()
		}
		return poll.Continue("not in force")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// A daemon that has just started is refused by the store and gets its list of 3,000
// endpoints, some 0.9 MB, from a hub over a link of 10 Mbit/s. Guards against a timeout of
// an answer that is shorter than the transfer: if each answer is cut after 0.4 s and the
// next report requests the whole list again, the daemon has no endpoint after 20 s and refuses
// all callers.
func TestLongListReachesADaemonBehindASlowLink(t *testing.T) {
	f := newFleet(t, 2)
	const many = 3000
	note := strings.Repeat("x", 280) // as long as an entry of the platform's
	for i := range many {
		spec, err := json.Marshal(fmt.Sprintf("127.0.0.1:%d %s", 1+i, note))
		assert.NilError(t, err)
		_, err = f.store.Create(t.Context(), "endpoints", fmt.Sprintf("many-%d", i), spec)
		assert.NilError(t, err)
	}
	f.until("all endpoints", func(n *Node) bool {
		all, _ := n.endpoints.list()
		return len(all) > many
	})
	f.awaitHolder()
	store := &cutStore{Store: f.store}
	store.cut.Store(true)
	weak := f.addWith(store, behindLink(&slowLink{bytes: 10e6 / 8}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if all, _ := weak.endpoints.list(); len(all) > many {
			return poll.Success()
		}
		return poll.Continue("no list")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}
