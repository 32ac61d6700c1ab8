package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// node is one member's entry in the table.
type node struct {
	instance    fleet.InstanceID
	record      *Record
	run         uint32
	state       State
	incarnation uint64
	digest      Digest
	dc          *dataCentre
	hash        uint64        // contribution to the table hash; 0 when terminal
	failedAt    time.Duration // when it became suspect or terminal
	deadline    time.Duration // of a suspect: when it becomes Dead
	queueState  queueState
	sendRecord  bool  // the rumour must carry the Record
	provisional bool  // judged while this daemon was cut off; told to nobody
	priorState  State // of a quiet one: before it was judged
}

// effectiveState is the state with the data centre's loss laid over it.
func (n *node) effectiveState() State {
	if n.dc.lost() && !n.state.Terminal() {
		return Dead
	}
	return n.state
}

func (n *node) member() Member {
	r := n.record
	return Member{
		Instance:    n.instance,
		Daemon:      r.Daemon,
		Caller:      r.Caller,
		Peer:        r.Peer,
		DataCentre:  r.DataCentre,
		Region:      r.Region,
		State:       n.effectiveState(),
		Incarnation: n.incarnation,
		Digest:      n.digest,
	}
}

// update returns the statement that others are told, with the Record if full.
func (n *node) update(full bool) Update {
	u := Update{Instance: n.instance, Run: n.run, State: n.state, Incarnation: n.incarnation}
	if full && !n.state.Terminal() {
		u.Record = n.record
	}
	return u
}
