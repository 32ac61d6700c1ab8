package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// node is a member's entry in the table.
type node struct {
	instance    fleet.InstanceID
	record      *Record
	run         uint32
	state       State
	incarnation uint64
	digest      Digest
	dc          *dataCentre
	hash        uint64        // contribution to the table hash; 0 if gone
	failedAt    time.Duration // when it became suspect or terminal
	deadline    time.Duration // of a suspect: when it becomes Dead
	queueState  queueState
	sendRecord  bool  // queued updates carry the Record
	provisional bool  // state set during isolation; not sent to other daemons
	priorState  State // if provisional: the state to revert to
}

// effectiveState is the state, or Dead if the data centre is lost.
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

// update returns the update to send about n. It has the Record if full is set and
// n is not gone.
func (n *node) update(full bool) Update {
	u := Update{Instance: n.instance, Run: n.run, State: n.state, Incarnation: n.incarnation}
	if full && !n.state.Terminal() {
		u.Record = n.record
	}
	return u
}
