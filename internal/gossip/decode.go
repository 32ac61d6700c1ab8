package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gossip/gossippb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// decode decodes a packet and checks everything that the Membership relies on.
func decode(content []byte) (*membership.Packet, error) {
	in := &gossippb.Packet{}
	if err := proto.Unmarshal(content, in); err != nil {
		return nil, Error.Wrap(err)
	}
	p := &membership.Packet{
		Kind:       membership.Kind(min(in.Kind, 255)),
		Sequence:   in.Sequence,
		From:       senderFromProto(in.From),
		Subject:    fleet.InstanceID(in.Subject),
		Address:    in.Address,
		NeedRecord: in.NeedRecord,
		TableHash:  in.TableHash,
		Digest:     digestFromProto(in.Digest),
		Buckets:    in.Buckets,
	}
	for _, b := range in.Beats {
		p.Heartbeats = append(p.Heartbeats, membership.Heartbeat{Region: fleet.Region(b.Region), Count: b.Count})
	}
	for _, u := range in.Updates {
		p.Updates = append(p.Updates, updateFromProto(u))
	}
	for _, d := range in.DataCentres {
		p.DataCentres = append(p.DataCentres, dataCentreFromProto(d))
	}
	return p, check(p)
}

func senderFromProto(s *gossippb.Sender) membership.Sender {
	return membership.Sender{
		Instance:    fleet.InstanceID(s.GetInstance()),
		Run:         s.GetRun(),
		State:       state(s.GetState()),
		Incarnation: s.GetIncarnation(),
	}
}

func digestFromProto(d *gossippb.Digest) membership.Digest {
	return membership.Digest{
		Version: d.GetVersion(),
		Hash:    d.GetHash(),
		Payload: string(d.GetPayload()),
	}
}

func updateFromProto(u *gossippb.Update) membership.Update {
	out := membership.Update{
		Instance:    fleet.InstanceID(u.Instance),
		Run:         u.Run,
		State:       state(u.State),
		Incarnation: u.Incarnation,
	}
	if r := u.Record; r != nil {
		out.Record = &membership.Record{
			Daemon:     fleet.DaemonID(r.Daemon),
			Caller:     r.Caller,
			Peer:       r.Peer,
			DataCentre: fleet.DataCentre(r.DataCentre),
			Region:     fleet.Region(r.Region),
		}
	}
	return out
}

func dataCentreFromProto(d *gossippb.DataCentre) membership.DataCentreUpdate {
	return membership.DataCentreUpdate{
		DataCentre: fleet.DataCentre(d.DataCentre),
		Region:     fleet.Region(d.Region),
		Version:    d.Version,
	}
}

// state converts a state to its narrower type. A value that is out of range stays out of
// range, so that check rejects it.
func state(s uint32) membership.State { return membership.State(min(s, 255)) }
