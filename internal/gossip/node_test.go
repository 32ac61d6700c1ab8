package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// listen opens a loopback port that the kernel chooses.
func listen(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	return conn
}

func startNode(t *testing.T, i int, conn net.PacketConn, keys func() Keys, seeds ...string) *Node {
	t.Helper()
	self := membership.Member{
		Instance:    fleet.InstanceID(fmt.Sprintf("i-%d", i)),
		Daemon:      fleet.DaemonID(fmt.Sprintf("d-%d", i)),
		Caller:      "127.0.0.1:1",
		Peer:        conn.LocalAddr().String(),
		DataCentre:  fleet.DataCentre(fmt.Sprintf("dc-%d", i)),
		Region:      "r",
		Incarnation: 1,
	}
	m := membership.New(membership.Config{}, self, rand.New(rand.NewPCG(1, uint64(i))))
	n, err := Start(Options{Conn: conn, Membership: m, Keys: keys})
	assert.NilError(t, err)
	t.Cleanup(func() { n.Close() })
	var hints []membership.Member
	for _, peer := range seeds {
		hints = append(hints, membership.Member{Peer: peer})
	}
	n.AddSeeds(hints)
	return n
}

func (n *Node) address() string { return n.opts.Conn.LocalAddr().String() }

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
}

func stateIn(n *Node, id fleet.InstanceID) membership.State {
	m, _ := n.View().ByInstance(id)
	return m.State
}

func TestNodesJoinLeaveAndCloseOverEncryptedUDP(t *testing.T) {
	keys := func() Keys { return Keys{Primary: key} }
	first := startNode(t, 0, listen(t), keys)
	nodes := []*Node{first, startNode(t, 1, listen(t), keys, first.address()), startNode(t, 2, listen(t), keys, first.address())}
	for _, n := range nodes {
		waitFor(t, "all to join", func() bool { return len(n.View().Serving()) == 3 })
	}
	var seen atomic.Int32
	first.Subscribe(func(a membership.Action) {
		if newer, ok := a.(membership.NewerDigest); ok && newer.Member.Digest.Payload == "p" {
			seen.Add(1)
		}
	})
	nodes[1].SetDigest(membership.Digest{Version: 3, Payload: "p"})
	waitFor(t, "the digest", func() bool { return seen.Load() > 0 })
	assert.NilError(t, nodes[2].Leave(context.Background()))
	waitFor(t, "the leaving", func() bool { return stateIn(first, "i-2") == membership.Leaving })
	assert.Equal(t, len(first.View().Serving()), 2)
	assert.NilError(t, nodes[2].Close())
	assert.ErrorContains(t, nodes[2].Leave(context.Background()), "closed")
	waitFor(t, "the end", func() bool { return stateIn(first, "i-2") == membership.Left })
	s := first.Stats()
	assert.Assert(t, s.PacketsIn > 0 && s.BytesIn > 0 && s.PacketsOut > 0 && s.BytesOut > 0 && s.Busy > 0)
	assert.Equal(t, s.Foreign+s.Malformed+s.SendErrors+s.KeyErrors, uint64(0))
}

func TestNodeWithAnInvalidAddressDoesNotStart(t *testing.T) {
	self := membership.Member{Instance: "i", Daemon: "d", Peer: "0.0.0.0:7946", DataCentre: "dc", Region: "r"}
	m := membership.New(membership.Config{}, self, rand.New(rand.NewPCG(1, 1)))
	_, err := Start(Options{Membership: m})
	assert.ErrorContains(t, err, "bad address")
}

func TestForeignAndMalformedDatagramsAreCounted(t *testing.T) {
	n := startNode(t, 0, listen(t), func() Keys { return Keys{Primary: key} })
	stranger, err := net.Dial("udp", n.address())
	assert.NilError(t, err)
	defer stranger.Close()
	_, err = stranger.Write([]byte("hello"))
	assert.NilError(t, err)
	_, err = stranger.Write(mustSealer(t, Keys{Primary: key}).seal(nil, []byte{0xff}))
	assert.NilError(t, err)
	waitFor(t, "both to be counted", func() bool { return n.Stats().Foreign == 1 && n.Stats().Malformed == 1 })
	assert.Equal(t, len(n.View().Alive()), 1)
}

func TestKeysAreReplacedWhileRunning(t *testing.T) {
	// The key of a fleet is replaced in three steps without a restart. A daemon that
	// misses one drops the others' datagrams, and members are suspected and declared
	// dead. An invalid key must not replace a valid one.
	synctest.Test(t, func(t *testing.T) {
		network := &memoryNet{conns: map[string]*memoryConn{}}
		var keys [2]atomic.Pointer[Keys]
		var nodes [2]*Node
		for i := range nodes {
			keys[i].Store(&Keys{Primary: key})
			nodes[i] = startNode(t, i, network.listen(1000+i), func() Keys { return *keys[i].Load() }, "127.0.0.1:1000")
		}
		for _, step := range []Keys{{key, otherKey}, {otherKey, key}, {otherKey, nil}} {
			for i := range nodes {
				keys[i].Store(&step)
				time.Sleep(20 * time.Second) // of the fake clock; long enough to be declared dead
			}
			for _, n := range nodes {
				assert.Equal(t, len(n.View().Alive()), 2)
				assert.Equal(t, n.Stats().Foreign, uint64(0))
			}
		}
		keys[0].Store(&Keys{Primary: key[:3]})
		time.Sleep(20 * time.Second)
		assert.Assert(t, nodes[0].Stats().KeyErrors > 0)
		assert.Equal(t, len(nodes[1].View().Alive()), 2)
	})
}
