package membership

// Upper bounds of encoded sizes in bytes: protobuf needs a tag and a length for
// each string and each nested message, and at most ten bytes for a uint64. The
// tests of internal/gossip check the encoder against these bounds.
const (
	stringOverhead  = 3  // tag and length below 16384
	varintBound     = 11 // tag and uint64
	fixed32Bound    = 5
	fixed64Bound    = 9
	flagBound       = 2 // tag and small enum or bool
	messageOverhead = 3 // tag and length below 16384
	// SealOverhead is what encryption adds: version, nonce and tag.
	SealOverhead = 1 + 12 + 16
)

func (u *Update) size() int {
	n := messageOverhead + stringOverhead + len(u.Instance) + fixed32Bound + flagBound + varintBound
	if r := u.Record; r != nil {
		n += messageOverhead + 5*stringOverhead
		n += len(r.Daemon) + len(r.Caller) + len(r.Peer) + len(r.DataCentre) + len(r.Region)
	}
	return n
}

func (u *DataCentreUpdate) size() int {
	return messageOverhead + 2*stringOverhead + len(u.DataCentre) + len(u.Region) + varintBound
}

func (d *Digest) size() int {
	return messageOverhead + varintBound + fixed64Bound + messageOverhead + len(d.Payload)
}

func (h *Heartbeat) size() int {
	return messageOverhead + stringOverhead + len(h.Region) + varintBound
}

// Size returns an upper bound of the packet's encoded and encrypted size in bytes.
func (p *Packet) Size() int {
	n := SealOverhead + 2*flagBound + fixed32Bound + fixed64Bound
	n += messageOverhead + stringOverhead + len(p.From.Instance) + fixed32Bound + flagBound + varintBound
	n += 2*stringOverhead + len(p.Subject) + len(p.Address)
	n += p.Digest.size()
	for i := range p.Heartbeats {
		n += p.Heartbeats[i].size()
	}
	for i := range p.Updates {
		n += p.Updates[i].size()
	}
	for i := range p.DataCentres {
		n += p.DataCentres[i].size()
	}
	if len(p.Buckets) > 0 {
		n += messageOverhead + len(p.Buckets)
	}
	return n
}
