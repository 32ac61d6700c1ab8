package gossip

import (
	"net"
	"net/netip"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

// runOwner runs the goroutine that owns the Membership.
func (n *Node) runOwner() {
	defer n.done.Done()
	timer := time.NewTimer(pause.ToNext(tickInterval))
	defer timer.Stop()
	keysAt := n.opts.Now()
	for {
		select {
		case <-n.closing:
			return
		case <-timer.C:
			timer.Reset(pause.ToNext(tickInterval))
			now := n.opts.Now()
			if now.Sub(keysAt) >= keyInterval {
				keysAt = now
				n.reloadKeys()
			}
			n.handle(n.members.Tick)
		case p := <-n.inbound.C():
			n.handle(func(now time.Time) []membership.Action { return n.members.Receive(now, p) })
		case c := <-n.commands:
			n.handle(c.run)
			close(c.done)
		}
	}
}

// handle passes one event to the Membership and carries out the resulting actions.
func (n *Node) handle(event func(time.Time) []membership.Action) {
	start := n.opts.Now()
	for _, a := range event(start) {
		n.perform(a)
	}
	n.counters.busy.Add(int64(n.opts.Now().Sub(start)))
}

func (n *Node) perform(a membership.Action) {
	if s, ok := a.(membership.Send); ok {
		n.send(s)
		return
	}
	if c, ok := a.(membership.Changed); ok {
		n.view.Store(c.View)
	}
	n.mu.Lock()
	subscribers := n.subscribers
	n.mu.Unlock()
	for _, f := range subscribers {
		f(a)
	}
}

func (n *Node) send(s membership.Send) {
	to, err := netip.ParseAddrPort(s.To)
	if err != nil {
		n.counters.sendErrors.Add(1)
		return
	}
	n.content, err = encode(n.content[:0], s.Packet)
	if err != nil {
		n.counters.sendErrors.Add(1)
		return
	}
	n.datagram = n.sealer.Load().seal(n.datagram[:0], n.content)
	if _, err := n.opts.Conn.WriteTo(n.datagram, net.UDPAddrFromAddrPort(to)); err != nil {
		n.counters.sendErrors.Add(1)
		return
	}
	n.counters.packetsOut.Add(1)
	n.counters.bytesOut.Add(uint64(len(n.datagram)))
}

// reloadKeys switches to changed keys. Invalid or missing ones are counted and the old
// keys stay in use, so that a faulty key file doesn't isolate the daemon.
func (n *Node) reloadKeys() {
	keys := n.opts.Keys()
	if keys.equal(n.sealer.Load().keys) {
		return
	}
	s, err := newSealer(keys)
	if err != nil || len(s.aeads) == 0 {
		n.counters.keyErrors.Add(1)
		return
	}
	n.sealer.Store(s)
}
