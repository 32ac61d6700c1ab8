package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns a Membership, the node of the only other member in its table,
// which is of the same region, and a packet from that member.
func pair() (*Membership, *node, *Packet) {
	m := New(Config{}, memberAt(0, 0, "dc-00", "r"), rand.New(rand.NewPCG(1, 1)))
	other := New(Config{}, memberAt(1, 0, "dc-01", "r"), rand.New(rand.NewPCG(1, 2)))
	p := other.newPacket(Gossip)
	p.Updates = []Update{other.self.update(true)}
	p.Source = "10.0.1.7:7946"
	m.Receive(time.Unix(0, 0), p)
	again := other.newPacket(Gossip)
	again.Source = p.Source
	return m, m.nodes["i-00000000000000001"], again
}

// replies returns the packets of the Send actions.
func replies(actions []Action) []*Packet {
	var out []*Packet
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			out = append(out, s.Packet)
		}
	}
	return out
}

func TestFailedSenderIsSentItsState(t *testing.T) {
	// A daemon that is suspect or dead here, alone or with its data centre, sends
	// a packet that asks for no answer. It must be sent its state, since the
	// update may have left the queues before the daemon could be reached.
	m, n, p := pair()
	assert.Equal(t, len(replies(m.Receive(time.Unix(0, 0), p))), 0)
	n.state = Dead
	sent := replies(m.Receive(time.Unix(0, 0), p))
	assert.Equal(t, len(sent), 1)
	assert.DeepEqual(t, sent[0].Updates, []Update{n.update(false)})
	n.state = Alive
	n.dc.version = 1
	sent = replies(m.Receive(time.Unix(0, 0), p))
	assert.Equal(t, len(sent), 1)
	assert.DeepEqual(t, sent[0].DataCentres, []DataCentreUpdate{n.dc.update(false)})
}

func TestDeathRefutedUnknowinglyIsReportedOnce(t *testing.T) {
	// A daemon that resumes after a pause refutes a suspicion from its socket
	// before it receives that it has been declared Dead since. It must still be
	// notified, and report it once, though the refutation is valid: what it
	// owned may have been taken over.
	m, n, p := pair()
	n.state = Dead
	p.From.Incarnation++
	sent := replies(m.Receive(time.Unix(0, 0), p))
	assert.Equal(t, n.state, Alive)
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].Updates[0].State, Dead)

	refuted, _, _ := pair()
	refuted.self.incarnation++
	death := Update{Instance: refuted.self.instance, Run: refuted.self.run, State: Dead, Incarnation: refuted.self.incarnation - 1}
	refuted.mergeSelf(&death)
	refuted.mergeSelf(&death)
	assert.DeepEqual(t, refuted.takeActions(), []Action{DeclaredDead{Incarnation: death.Incarnation}})
}

func TestUnknownSenderIsAskedForItsRecord(t *testing.T) {
	m, _, p := pair()
	p.From.Instance = "i-unknown"
	sent := replies(m.Receive(time.Unix(0, 0), p))
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].NeedRecord)
	p.From.Instance, p.NeedRecord = "i-00000000000000001", true
	sent = replies(m.Receive(time.Unix(0, 0), p))
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].Updates[0].Record != nil)
}

func TestPingForAnotherInstanceIsNotAnswered(t *testing.T) {
	// An instance is gone and a new one has its address. If the new one answered
	// probes for the old one, the old one would stay alive forever.
	m, _, p := pair()
	p.Kind = Ping
	p.Subject = "i-gone"
	assert.Equal(t, len(replies(m.Receive(time.Unix(0, 0), p))), 0)
	p.Subject = m.self.instance
	assert.Equal(t, replies(m.Receive(time.Unix(0, 0), p))[0].Kind, Ack)
}

func TestEndOfAnOlderRunDoesNotEndTheNewOne(t *testing.T) {
	// The clock was set back between two runs, so the table has the new run when
	// the end of the older one arrives with a higher incarnation. When the new
	// run has raised its own incarnation, it must be accepted as the new run and
	// not be taken for the one that is gone.
	m, n, _ := pair()
	gone := Update{Instance: n.instance, Run: n.run + 1, State: Left, Incarnation: n.incarnation + 5}
	m.merge(&gone, true)
	assert.Equal(t, n.state, Left)
	raised := Update{Instance: n.instance, Run: n.record.run(), State: Alive, Incarnation: n.incarnation + 1}
	assert.Assert(t, !m.merge(&raised, true), "its record is needed again")
	raised.Record = n.record
	assert.Assert(t, m.merge(&raised, true))
	assert.Equal(t, n.state, Alive)
}

func TestUnknownGoneMembersAndKnownSeedsAreIgnored(t *testing.T) {
	m, n, _ := pair()
	gone := Update{Instance: "i-gone", State: Dead, Incarnation: 1, Record: n.record}
	m.merge(&gone, true)
	assert.Assert(t, m.nodes["i-gone"] == nil)
	m.AddSeeds(time.Unix(0, 0), []Member{n.member(), m.self.member()})
	n.state = Left
	m.AddSeeds(time.Unix(0, 0), []Member{n.member()})
	assert.Equal(t, len(m.seeds.list), 0)
}

func TestPagesAndUpdatesStayWithinTheirBudgets(t *testing.T) {
	// Many peers request the whole table at once while many updates are queued.
	// The daemon must send no more than its budgets allow, and probes must still
	// be answered.
	m := filled(340)
	ask := &Packet{Kind: SyncRequest, From: m.nodes["i-00000000000000003"].asSender(), Buckets: make([]byte, BucketCount), Source: "10.0.3.7:7946"}
	ping := *ask
	ping.Kind, ping.Buckets, ping.Subject = Ping, nil, m.self.instance
	for _, n := range m.sorted {
		m.updates.addNode(n)
	}
	pages, acks, answers := 0, 0, 0
	for range 200 {
		for _, p := range replies(m.Receive(time.Unix(0, 0), ask)) {
			pages += p.Size()
		}
		for _, p := range replies(m.Receive(time.Unix(0, 0), &ping)) {
			acks += p.Size()
			answers++
		}
	}
	assert.Equal(t, answers, 200)
	assert.Assert(t, pages < syncBurst+defaultMaxPacketBytes, "%d bytes of pages", pages)
	assert.Assert(t, acks < updateBurst+defaultMaxPacketBytes+200*300, "%d bytes of answers", acks)
}

func (n *node) asSender() Sender {
	return Sender{Instance: n.instance, Run: n.run, State: n.state, Incarnation: n.incarnation}
}

func TestSameNewerDigestIsReportedOnce(t *testing.T) {
	m, _, p := pair()
	p.Digest = Digest{Version: 1}
	assert.Equal(t, len(m.Receive(time.Unix(0, 0), p)), 1)
	assert.Equal(t, len(m.Receive(time.Unix(0, 0), p)), 0)
	p.Digest.Version = 2
	assert.Equal(t, len(m.Receive(time.Unix(0, 0), p)), 1)
}

func TestIsolatedDaemonAcceptsNoDataCentreLoss(t *testing.T) {
	// While a daemon verifies the loss of a data centre, its own link fails. It
	// gets no answers because of that and must not accept the loss.
	m, n, p := pair()
	now := time.Unix(1000, 0)
	verify := func(received *Packet) {
		n.dc.lastPacketAt = -time.Second
		m.verifyLoss(n.dc, 1)
		for range 20 {
			now = now.Add(tick)
			if received != nil {
				m.Receive(now, received)
			}
			m.Tick(now)
		}
	}
	verify(nil)
	assert.Assert(t, !n.dc.lost())
	p.From.Instance = "i-unknown"
	verify(p)
	assert.Assert(t, n.dc.lost())
}
