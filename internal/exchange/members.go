package exchange

import (
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

func encodeMember(m *membership.Member) *exchangepb.Member {
	return &exchangepb.Member{
		Instance: string(m.Instance), Daemon: string(m.Daemon), Caller: m.Caller, Peer: m.Peer,
		DataCentre: string(m.DataCentre), Region: string(m.Region), Incarnation: m.Incarnation,
	}
}

func decodeMember(m *exchangepb.Member) membership.Member {
	return membership.Member{
		Instance: fleet.InstanceID(m.GetInstance()), Daemon: fleet.DaemonID(m.GetDaemon()), Caller: m.GetCaller(), Peer: m.GetPeer(),
		DataCentre: fleet.DataCentre(m.GetDataCentre()), Region: fleet.Region(m.GetRegion()), Incarnation: m.GetIncarnation(),
	}
}

// EncodeMember encodes a member as the Spec of an item in a list of members.
func EncodeMember(m *membership.Member) ([]byte, error) {
	text, err := proto.Marshal(encodeMember(m))
	return text, Error.Wrap(err)
}

// DecodeMember decodes the Spec of an item in a list of members.
func DecodeMember(text []byte) (membership.Member, error) {
	var m exchangepb.Member
	if err := proto.Unmarshal(text, &m); err != nil {
		return membership.Member{}, Error.Wrap(err)
	}
	return decodeMember(&m), nil
}
