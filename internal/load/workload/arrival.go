package workload

import (
	"encoding/binary"
	"time"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the intended send time, since the start of the run.
	At        time.Duration
	Workspace int // index into the plan's workspaces
	Kind      int // index into the mix's kinds
	// Subject numbers the machine or town that the question is about, -1 for none.
	Subject int
	// Seed determines the question, the answer's length and the part number.
	Seed uint64
	// Conversation numbers the conversation within the schedule, -1 for none.
	Conversation int
	Turn         int  // within the conversation, from 0
	Last         bool // no later turn follows in this schedule
}

// appendTo adds the arrival's fields to buf, for hashing.
func (a *Arrival) appendTo(buf []byte) []byte {
	for _, v := range []uint64{
		uint64(a.At), uint64(a.Workspace), uint64(a.Kind), uint64(a.Subject),
		a.Seed, uint64(a.Conversation), uint64(a.Turn),
	} {
		buf = binary.LittleEndian.AppendUint64(buf, v)
	}
	return buf
}
