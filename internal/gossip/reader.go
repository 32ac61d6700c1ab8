package gossip

import (
	"errors"
	"net"
	"time"
)

// readRetryDelay is the time between reads of a socket that returns errors, which would
// otherwise be a busy loop.
const readRetryDelay = 100 * time.Millisecond

// runReader runs the goroutine that receives datagrams.
func (n *Node) runReader() {
	defer n.done.Done()
	buffer := make([]byte, readBuffer)
	for {
		size, from, err := n.opts.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if n.waitToRetry() {
				return
			}
			continue
		}
		start := n.opts.Now()
		n.receive(buffer[:size], from)
		n.counters.busy.Add(int64(n.opts.Now().Sub(start)))
	}
}

// waitToRetry waits for readRetryDelay and reports whether the Node is closing.
func (n *Node) waitToRetry() bool {
	select {
	case <-n.closing:
		return true
	case <-time.After(readRetryDelay):
		return false
	}
}

// receive decodes a datagram and passes it to the owner goroutine.
func (n *Node) receive(datagram []byte, from net.Addr) {
	n.counters.packetsIn.Add(1)
	n.counters.bytesIn.Add(uint64(len(datagram)))
	content, err := n.sealer.Load().open(datagram)
	if err != nil {
		n.counters.foreign.Add(1)
		return
	}
	p, err := decode(content)
	if err != nil {
		n.counters.malformed.Add(1)
		return
	}
	p.Source = from.String()
	n.inbound.Push(p)
}
