package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/gossip/gossippb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// encode appends the packet's protobuf form to dst.
func encode(dst []byte, p *membership.Packet) ([]byte, error) {
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, toProto(p))
	return out, Error.Wrap(err)
}

func toProto(p *membership.Packet) *gossippb.Packet {
	out := &gossippb.Packet{
		Kind:       uint32(p.Kind),
		Sequence:   p.Sequence,
		From:       senderToProto(p.From),
		Subject:    string(p.Subject),
		Address:    p.Address,
		NeedRecord: p.NeedRecord,
		TableHash:  p.TableHash,
		Digest:     digestToProto(p.Digest),
		Buckets:    p.Buckets,
	}
	for _, b := range p.Heartbeats {
		out.Beats = append(out.Beats, &gossippb.Beat{Region: string(b.Region), Count: b.Count})
	}
	for i := range p.Updates {
		out.Updates = append(out.Updates, updateToProto(&p.Updates[i]))
	}
	for _, d := range p.DataCentres {
		out.DataCentres = append(out.DataCentres, dataCentreToProto(d))
	}
	return out
}

func senderToProto(s membership.Sender) *gossippb.Sender {
	return &gossippb.Sender{
		Instance:    string(s.Instance),
		Run:         s.Run,
		State:       uint32(s.State),
		Incarnation: s.Incarnation,
	}
}

func digestToProto(d membership.Digest) *gossippb.Digest {
	if d == (membership.Digest{}) {
		return nil
	}
	return &gossippb.Digest{Version: d.Version, Hash: d.Hash, Payload: []byte(d.Payload)}
}

func updateToProto(u *membership.Update) *gossippb.Update {
	out := &gossippb.Update{
		Instance:    string(u.Instance),
		Run:         u.Run,
		State:       uint32(u.State),
		Incarnation: u.Incarnation,
	}
	if r := u.Record; r != nil {
		out.Record = &gossippb.Record{
			Daemon:     string(r.Daemon),
			Caller:     r.Caller,
			Peer:       r.Peer,
			DataCentre: string(r.DataCentre),
			Region:     string(r.Region),
		}
	}
	return out
}

func dataCentreToProto(d membership.DataCentreUpdate) *gossippb.DataCentre {
	return &gossippb.DataCentre{
		DataCentre: string(d.DataCentre),
		Region:     string(d.Region),
		Version:    d.Version,
	}
}
