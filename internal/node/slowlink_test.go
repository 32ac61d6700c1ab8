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

// slowLink is what a machine receives at a bounded rate, on all its connections
// together.
type slowLink struct {
	mu     sync.Mutex
	idleAt time.Time // when what has been received so far has passed
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

// behindLink puts a daemon behindLink a link, on the weakest of machines.
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

// cutStore is a store that turns one daemon away for as long as it is cut.
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
	if s.cut.Load() { // the answer of a watch that began before is lost
		return nil, 0, errDown
	}
	return changes, next, err
}

// largeText is a configuration about as large as the store takes, which can't
// be told in much fewer bytes.
func largeText(version string) json.RawMessage {
	const size = 900 << 10
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, size/2)
	for i := range text {
		text[i] = byte(random.Uint32())
	}
	return json.RawMessage(version + " " + hex.EncodeToString(text))
}

// A caller is routed by an old configuration at a daemon behind a link of 10
// Mbit/s, for minutes after the change was acknowledged. The configuration has
// grown to 0.9 MB, which takes the link 0.7 s; each answer of a hub that carried
// it was cut after 0.4 s, each list of the store after 1.5 s while the hubs'
// answers came beside it, and all began again from nothing. Evidence: 27 daemons
// received 1.15 MB/s for eight seconds, "after 229376 bytes of the answer:
// context deadline exceeded" and "after 737205 bytes of 874901".
func TestLargeConfigurationReachesADaemonBehindASlowLink(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitReady()
	f.awaitHolder() // so that the others work for the weak one, and not the other way round
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

// A daemon refuses all callers for as long as the store turns it away, though its
// peers have the list of endpoints. It has just started, behind a link of 10
// Mbit/s, and a hub tells it 3,000 endpoints, some 0.9 MB. Each answer was cut
// after 0.4 s and the next report asked for all of it again. Evidence: with the
// bound on the answer's length the daemon has no endpoint after 20 s.
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
