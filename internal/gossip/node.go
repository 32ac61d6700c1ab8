package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
)

// Node runs a Membership.
type Node struct {
	opts     Options
	members  *membership.Membership // the owner's
	view     atomic.Pointer[membership.View]
	sealer   atomic.Pointer[sealer]
	inbound  *ring.Ring[*membership.Packet]
	commands chan command
	counters counters

	mu          sync.Mutex
	subscribers []func(membership.Action)

	closing   chan struct{}
	closeOnce sync.Once
	closeErr  error
	done      sync.WaitGroup
	content   []byte // the owner's buffers
	datagram  []byte
}

// command is something for the owner to do. done is closed afterwards.
type command struct {
	run  func(now time.Time) []membership.Action
	done chan struct{}
}

// Start starts a Node. It takes over the connection and the Membership. It
// fails where the keys cannot be used or the member's names or addresses are
// such that other daemons would refuse them.
func Start(opts Options) (*Node, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Keys == nil {
		opts.Keys = func() Keys { return Keys{} }
	}
	if err := checkSelf(opts.Membership.View().Self()); err != nil {
		return nil, err
	}
	seal, err := newSealer(opts.Keys())
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts:     opts,
		members:  opts.Membership,
		inbound:  ring.New[*membership.Packet]("gossip-inbound", ringSize),
		commands: make(chan command),
		closing:  make(chan struct{}),
	}
	n.sealer.Store(seal)
	n.view.Store(opts.Membership.View())
	n.done.Add(2)
	go n.read()
	go n.own()
	return n, nil
}

// View returns the newest snapshot.
func (n *Node) View() *membership.View { return n.view.Load() }

// Inbound returns the ring of received packets, for its metrics.
func (n *Node) Inbound() *ring.Ring[*membership.Packet] { return n.inbound }

// Subscribe has f called with every action but Send, in order, from the
// owner's goroutine: f must return at once and must not call the Node's
// methods other than View and Stats.
func (n *Node) Subscribe(f func(membership.Action)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(n.subscribers, f)
}

// SetDigest sets what peers are told about the configuration here.
func (n *Node) SetDigest(d membership.Digest) {
	n.do(context.Background(), func(time.Time) []membership.Action {
		n.members.SetDigest(d)
		return nil
	})
}

// Seeds adds hints from the settings or the instance list.
func (n *Node) Seeds(members []membership.Member) {
	n.do(context.Background(), func(now time.Time) []membership.Action {
		n.members.AddSeeds(now, members)
		return nil
	})
}

// Introduced takes daemons that another one or the platform's store vouches for. Those
// whose names or addresses other daemons would refuse are left out.
func (n *Node) Introduced(members []membership.Member) {
	sound := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if checkSelf(m) == nil {
			sound = append(sound, m)
		}
	}
	n.do(context.Background(), func(now time.Time) []membership.Action { return n.members.Introduce(now, sound) })
}

// Leave tells the fleet that this daemon takes no new work. It returns when
// the first peers were told; they pass it on. The Node goes on answering.
func (n *Node) Leave(ctx context.Context) error {
	return n.do(ctx, n.members.Leave)
}

// Close tells the fleet that this daemon is gone and stops.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		n.do(context.Background(), n.members.Depart)
		close(n.closing)
		n.closeErr = Error.Wrap(n.opts.Conn.Close())
		n.done.Wait()
	})
	return n.closeErr
}

// do has the owner run f and waits for it.
func (n *Node) do(ctx context.Context, f func(time.Time) []membership.Action) error {
	c := command{run: f, done: make(chan struct{})}
	select {
	case n.commands <- c:
		<-c.done
		return nil
	case <-n.closing:
		return Error.New("closed")
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
