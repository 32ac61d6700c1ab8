package membership

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Kind is the type of a packet.
type Kind uint8

// The kinds of packet.
const (
	// Ping asks for an Ack with the same Sequence.
	Ping Kind = iota + 1
	// PingRequest asks the receiver to ping Subject at Address and to answer
	// with an Ack if Subject answers, otherwise with a Nack.
	PingRequest
	// Ack answers a Ping, or a PingRequest whose Subject answered.
	Ack
	// Nack answers a PingRequest whose Subject did not answer in time. It shows
	// that the sender itself can be reached.
	Nack
	// Gossip carries only updates.
	Gossip
	// SyncRequest carries the bucket hashes of the sender's member table and
	// asks for pages of the buckets that differ.
	SyncRequest
	// SyncPage carries members of the buckets that differ.
	SyncPage
)

// Packet is one datagram. It must not be changed after it was sent.
type Packet struct {
	Source string // address of the sender, host:port; set by the receiver's transport, not encoded

	Kind        Kind
	Sequence    uint32
	From        Sender
	Subject     fleet.InstanceID // the daemon that a probe is for; empty in a Ping to a seed
	Address     string           // of Subject, host:port; only in a PingRequest
	NeedRecord  bool             // the sender lacks the receiver's Record
	TableHash   uint64           // of the sender's member table
	Digest      Digest
	Heartbeats  []Heartbeat
	Updates     []Update
	DataCentres []DataCentreUpdate
	Buckets     []byte // in a SyncRequest: BucketCount hashes, salted with Sequence
}

// Sender is the state of a packet's sender, which every packet carries.
type Sender struct {
	Instance    fleet.InstanceID
	Run         uint32 // hash of the daemon's id
	State       State
	Incarnation uint64
}

// Update is the state of a member as the sender reports it.
type Update struct {
	Instance    fleet.InstanceID
	Run         uint32 // hash of the daemon's id
	State       State
	Incarnation uint64
	Record      *Record // nil if the receiver should have it already
}

// DataCentreUpdate is the state of a data centre as the sender reports it. It is
// lost if Version is odd. A higher version overrides a lower one.
type DataCentreUpdate struct {
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Version    uint64
}

// Lost reports whether the data centre is lost according to the update.
func (u DataCentreUpdate) Lost() bool { return u.Version%2 == 1 }

// Heartbeat is a region's heartbeat counter. The region's bridges increment it,
// so if it stops growing the region cannot be reached.
type Heartbeat struct {
	Region fleet.Region
	Count  uint64
}
