package gossip

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

var (
	key      = make([]byte, KeyBytes)
	otherKey = append([]byte{1}, key[1:]...)
)

func mustSealer(t testing.TB, keys Keys) *sealer {
	t.Helper()
	s, err := newSealer(keys)
	assert.NilError(t, err)
	return s
}

var (
	genName    = rapid.StringMatching(`[a-z0-9-]{1,60}`)
	genAddress = rapid.Custom(func(t *rapid.T) string {
		return fmt.Sprintf("10.%d.%d.%d:%d", rapid.Byte().Draw(t, "a"), rapid.Byte().Draw(t, "b"),
			rapid.Byte().Draw(t, "c"), rapid.Uint16().Draw(t, "port"))
	})
	genIncarnation = rapid.Uint64Range(1, maxIncarnation)
	genUpdate      = rapid.Custom(func(t *rapid.T) membership.Update {
		u := membership.Update{
			Instance:    fleet.InstanceID(genName.Draw(t, "instance")),
			Run:         rapid.Uint32().Draw(t, "run"),
			State:       membership.State(rapid.IntRange(0, int(membership.Left)).Draw(t, "state")),
			Incarnation: genIncarnation.Draw(t, "incarnation"),
		}
		if rapid.Bool().Draw(t, "full") {
			u.Record = &membership.Record{
				Daemon:     fleet.DaemonID(genName.Draw(t, "daemon")),
				Caller:     genAddress.Draw(t, "caller"),
				Peer:       genAddress.Draw(t, "peer"),
				DataCentre: fleet.DataCentre(genName.Draw(t, "data centre")),
				Region:     fleet.Region(genName.Draw(t, "region")),
			}
		}
		return u
	})
	genDataCentre = rapid.Custom(func(t *rapid.T) membership.DataCentreUpdate {
		return membership.DataCentreUpdate{
			DataCentre: fleet.DataCentre(genName.Draw(t, "data centre")),
			Region:     fleet.Region(genName.Draw(t, "region")),
			Version:    rapid.Uint64Range(0, maxIncarnation).Draw(t, "version"),
		}
	})
	genHeartbeat = rapid.Custom(func(t *rapid.T) membership.Heartbeat {
		return membership.Heartbeat{
			Region: fleet.Region(genName.Draw(t, "region")),
			Count:  rapid.Uint64Range(0, maxIncarnation).Draw(t, "count"),
		}
	})
)

func genPacket(t *rapid.T) *membership.Packet {
	sender := genUpdate.Draw(t, "from")
	p := &membership.Packet{
		Kind:       membership.Kind(rapid.IntRange(int(membership.Ping), int(membership.SyncPage)).Draw(t, "kind")),
		Sequence:   rapid.Uint32().Draw(t, "sequence"),
		From:       membership.Sender{Instance: sender.Instance, Run: sender.Run, State: sender.State, Incarnation: sender.Incarnation},
		Subject:    fleet.InstanceID(genName.Draw(t, "subject")),
		Address:    genAddress.Draw(t, "address"),
		NeedRecord: rapid.Bool().Draw(t, "need record"),
		TableHash:  rapid.Uint64().Draw(t, "hash"),
		Digest: membership.Digest{
			Version: rapid.Uint64().Draw(t, "version"),
			Hash:    rapid.Uint64().Draw(t, "digest"),
			Payload: string(rapid.SliceOfN(rapid.Byte(), 0, membership.MaxDigestPayload).Draw(t, "payload")),
		},
		Heartbeats:  rapid.SliceOfN(genHeartbeat, 0, 3).Draw(t, "beats"),
		Updates:     rapid.SliceOfN(genUpdate, 0, 5).Draw(t, "updates"),
		DataCentres: rapid.SliceOfN(genDataCentre, 0, 3).Draw(t, "data centres"),
	}
	if p.Kind == membership.SyncRequest {
		p.Buckets = rapid.SliceOfN(rapid.Byte(), membership.BucketCount, membership.BucketCount).Draw(t, "buckets")
	}
	return p
}

func TestPacketsRoundTripWithinTheirSizeBound(t *testing.T) {
	// Guards against IP fragmentation, where the loss of any fragment loses the packet.
	// Membership keeps packets below 1200 bytes by Packet.Size, its own bound on their
	// encoded size, so the codec must not exceed that bound.
	s := mustSealer(t, Keys{Primary: key})
	rapid.Check(t, func(t *rapid.T) {
		p := genPacket(t)
		content, err := encode(nil, p)
		assert.NilError(t, err)
		datagram := s.seal(nil, content)
		assert.Assert(t, len(datagram) <= p.Size(), "%d bytes, bound %d", len(datagram), p.Size())
		opened, err := s.open(datagram)
		assert.NilError(t, err)
		got, err := decode(opened)
		assert.NilError(t, err)
		assertSamePacket(t, got, p)
	})
}

// assertSamePacket compares lists by content: an empty one is decoded as nil.
func assertSamePacket(t *rapid.T, got, want *membership.Packet) {
	assert.Equal(t, len(got.Updates), len(want.Updates))
	for i := range want.Updates {
		assert.DeepEqual(t, got.Updates[i], want.Updates[i])
	}
	assert.Equal(t, fmt.Sprint(got.Heartbeats, got.DataCentres, got.Buckets), fmt.Sprint(want.Heartbeats, want.DataCentres, want.Buckets))
	a, b := *got, *want
	a.Updates, a.Heartbeats, a.DataCentres, a.Buckets = nil, nil, nil, nil
	b.Updates, b.Heartbeats, b.DataCentres, b.Buckets = nil, nil, nil, nil
	assert.DeepEqual(t, a, b)
}

func TestMalformedPacketsAreRejected(t *testing.T) {
	good := func() *membership.Packet {
		return &membership.Packet{Kind: membership.Ping, From: membership.Sender{Instance: "i", Incarnation: 1}}
	}
	record := &membership.Record{Daemon: "d", Peer: "10.0.0.1:1", DataCentre: "dc", Region: "r"}
	bad := map[string]func(p *membership.Packet){
		"kind":        func(p *membership.Packet) { p.Kind = 99 },
		"instance":    func(p *membership.Packet) { p.From.Instance = "" },
		"incarnation": func(p *membership.Packet) { p.From.Incarnation = 1 << 61 },
		"state":       func(p *membership.Packet) { p.From.State = 17 },
		"address":     func(p *membership.Packet) { p.Kind = membership.PingRequest; p.Address = "host" },
		"record": func(p *membership.Packet) {
			r := *record
			r.Region = ""
			p.Updates = []membership.Update{{Instance: "i", Incarnation: 1, Record: &r}}
		},
		"data centre": func(p *membership.Packet) { p.DataCentres = []membership.DataCentreUpdate{{Version: 1}} },
		"beat":        func(p *membership.Packet) { p.Heartbeats = []membership.Heartbeat{{Count: 1}} },
	}
	check := func(p *membership.Packet) error {
		content, err := encode(nil, p)
		assert.NilError(t, err)
		_, err = decode(content)
		return err
	}
	assert.NilError(t, check(good()))
	for name, spoil := range bad {
		p := good()
		spoil(p)
		assert.Assert(t, check(p) != nil, name)
	}
	_, err := decode([]byte{0xff, 0xff})
	assert.Assert(t, err != nil)
}

func TestOnlyDatagramsSealedWithAConfiguredKeyAreOpened(t *testing.T) {
	plain, sealed := mustSealer(t, Keys{}), mustSealer(t, Keys{Primary: key})
	other := mustSealer(t, Keys{Primary: otherKey})
	rotating := mustSealer(t, Keys{Primary: otherKey, Secondary: key})
	datagram := sealed.seal(nil, []byte("content"))
	for _, s := range []*sealer{sealed, rotating} {
		content, err := s.open(datagram)
		assert.NilError(t, err)
		assert.Equal(t, string(content), "content")
	}
	for _, s := range []*sealer{plain, other} {
		_, err := s.open(datagram)
		assert.Assert(t, err != nil)
	}
	_, err := sealed.open(plain.seal(nil, []byte("content")))
	assert.Assert(t, err != nil, "a plain datagram was taken in spite of a key")
	datagram[len(datagram)-1] ^= 1
	_, err = sealed.open(datagram)
	assert.Assert(t, err != nil, "a changed datagram was taken")
	_, err = newSealer(Keys{Primary: key[:16]})
	assert.ErrorContains(t, err, "16 bytes")
}
