package membership

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Kind tells what a packet asks for.
type Kind uint8

// The kinds of packet.
const (
	// Ping asks for an Ack with the same Sequence.
	Ping Kind = iota + 1
	// PingRequest asks the receiver to ping Subject at Address and to pass the
	// answer on as an Ack, or to send a Nack.
	PingRequest
	// Ack answers a Ping or passes on Subject's answer.
	Ack
	// Nack says that Subject did not answer in time, but the sender did.
	Nack
	// Gossip carries updates alone.
	Gossip
	// SyncRequest carries hashes of the sender's member table and asks for
	// pages of the parts that differ.
	SyncRequest
	// SyncPage carries records of a part that differs.
	SyncPage
)

// Packet is one datagram. Its parts are never changed once it was sent.
type Packet struct {
	Source string // address it came from; set by the receiving transport, not sent

	Kind        Kind
	Sequence    uint32
	From        Sender
	Subject     fleet.InstanceID // whom a Ping is meant for, or who is asked about
	Address     string           // of Subject, in a PingRequest
	NeedRecord  bool             // the sender lacks the receiver's Record
	TableHash   uint64           // of the sender's member table
	Digest      Digest
	Heartbeats  []Heartbeat
	Updates     []Update
	DataCentres []DataCentreUpdate
	Buckets     []byte // in a SyncRequest, BucketCount of them, salted with Sequence
}

// Sender is what every packet says about its sender.
type Sender struct {
	Instance    fleet.InstanceID
	Run         uint32 // hash of the daemon's id
	State       State
	Incarnation uint64
}

// Update is a statement about a member.
type Update struct {
	Instance    fleet.InstanceID
	Run         uint32 // hash of the daemon's id
	State       State
	Incarnation uint64
	Record      *Record // nil where the receiver should know it already
}

// DataCentreUpdate is a statement about a data centre. An odd version says that
// it is lost, an even one that it is not; the greater version holds.
type DataCentreUpdate struct {
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Version    uint64
}

// Lost reports whether the update says that the data centre is lost.
func (u DataCentreUpdate) Lost() bool { return u.Version%2 == 1 }

// Heartbeat is a region's counter: its bridges raise it as long as they live, so
// where it stops growing the region cannot be heard.
type Heartbeat struct {
	Region fleet.Region
	Count  uint64
}
