package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
)

// Node runs a Membership over UDP. It is safe for concurrent use.
type Node struct {
	opts     Options
	members  *membership.Membership // used by the owner goroutine only
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
	content   []byte // buffers of the owner goroutine
	datagram  []byte
}

// command is a function for the owner goroutine to call. done is closed afterwards.
type command struct {
	run  func(now time.Time) []membership.Action
	done chan struct{}
}

// Start starts a Node, which takes ownership of the connection and the Membership. It
// returns an error if the keys are invalid, or if other daemons would reject the names or
// addresses of this member.
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
	s, err := newSealer(opts.Keys())
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
	n.sealer.Store(s)
	n.view.Store(opts.Membership.View())
	n.done.Add(2)
	go n.runReader()
	go n.runOwner()
	return n, nil
}

// View returns the newest snapshot of the members.
func (n *Node) View() *membership.View { return n.view.Load() }

// Inbound returns the ring buffer of received packets, for its metrics.
func (n *Node) Inbound() *ring.Ring[*membership.Packet] { return n.inbound }

// Subscribe registers f, which is called in order with every action other than Send. It
// is called on the owner goroutine, so f must not block and must not call methods of the
// Node other than View and Stats.
func (n *Node) Subscribe(f func(membership.Action)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(n.subscribers, f)
}

// SetDigest sets the digest of this daemon's configuration that is sent to peers.
func (n *Node) SetDigest(d membership.Digest) {
	n.runOnOwner(context.Background(), func(time.Time) []membership.Action {
		n.members.SetDigest(d)
		return nil
	})
}

// AddSeeds adds addresses from the settings or the instance list at which there may be
// daemons.
func (n *Node) AddSeeds(members []membership.Member) {
	n.runOnOwner(context.Background(), func(now time.Time) []membership.Action {
		n.members.AddSeeds(now, members)
		return nil
	})
}

// Introduce adds members that are known to exist from another daemon or from the
// platform's store. It skips members whose names or addresses other daemons would reject.
func (n *Node) Introduce(members []membership.Member) {
	valid := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if checkSelf(m) == nil {
			valid = append(valid, m)
		}
	}
	n.runOnOwner(context.Background(), func(now time.Time) []membership.Action { return n.members.Introduce(now, valid) })
}

// Leave announces that this daemon accepts no new work. It returns once the
// announcement is sent to the first peers, which spread it further. The Node keeps
// running.
func (n *Node) Leave(ctx context.Context) error {
	return n.runOnOwner(ctx, n.members.Leave)
}

// Close announces that this daemon is gone, stops the Node and closes its connection.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		n.runOnOwner(context.Background(), n.members.Depart)
		close(n.closing)
		n.closeErr = Error.Wrap(n.opts.Conn.Close())
		n.done.Wait()
	})
	return n.closeErr
}

// runOnOwner runs f on the owner goroutine and waits until its actions are carried out.
func (n *Node) runOnOwner(ctx context.Context, f func(time.Time) []membership.Action) error {
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
