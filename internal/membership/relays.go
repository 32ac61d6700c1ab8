package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// maxRelays bounds the probes that run on behalf of other daemons. In normal
// operation there are only a few at once, and a missing Nack does little harm.
const maxRelays = 32

// relay is a probe on behalf of another daemon, the requester.
type relay struct {
	sequence        uint32 // of the Ping to the subject
	requestSequence uint32 // of the requester's PingRequest
	requester       string // address, host:port
	subject         fleet.InstanceID
	deadline        time.Duration
}

type relays struct {
	list []relay
}

func (r *relays) add(x relay) {
	if len(r.list) == maxRelays {
		r.list = r.list[1:]
	}
	r.list = append(r.list, x)
}

// remove removes and returns the relay whose Ping has the sequence number.
func (r *relays) remove(sequence uint32) (relay, bool) {
	for i, x := range r.list {
		if x.sequence == sequence {
			r.list = append(r.list[:i], r.list[i+1:]...)
			return x, true
		}
	}
	return relay{}, false
}

// receivePingRequest probes the subject on behalf of the packet's sender.
func (m *Membership) receivePingRequest(p *Packet) {
	x := relay{
		sequence:        m.nextSequence(),
		requestSequence: p.Sequence,
		requester:       p.Source,
		subject:         p.Subject,
		// The requester waits for the rest of its interval, and the Nack must
		// arrive before that ends.
		deadline: m.clock.now + (m.cfg.ProbeInterval-m.cfg.ProbeTimeout)/2,
	}
	m.relays.add(x)
	ping := m.newPacket(Ping)
	ping.Sequence = x.sequence
	ping.Subject = p.Subject
	if n := m.nodes[p.Subject]; n != nil {
		m.addFailedState(ping, n)
	}
	m.send(p.Address, ping)
}

// answerRequester sends an Ack or Nack to the requester.
func (m *Membership) answerRequester(x relay, k Kind) {
	p := m.newPacket(k)
	p.Sequence = x.requestSequence
	p.Subject = x.subject
	m.send(x.requester, p)
}

func (m *Membership) tickRelays() {
	kept := m.relays.list[:0]
	for _, x := range m.relays.list {
		if m.clock.now < x.deadline {
			kept = append(kept, x)
			continue
		}
		m.answerRequester(x, Nack)
	}
	m.relays.list = kept
}
