package lease

import "time"

// writeKind is the purpose of a write to a lease's object.
type writeKind uint8

const (
	acquire writeKind = iota
	renew
	release
)

type sentWrite struct {
	number uint64
	kind   writeKind
	sentAt time.Time // before it was sent
	state  State
	prior  Observation // what the write replaces
}

// maxSentWrites bounds the writes that are recognised when they take effect
// late. A write on the same version is only sent again after a read-back, so no
// more than a few can be in flight at once.
const maxSentWrites = 8

// sentWrites holds the last maxSentWrites writes, by number.
type sentWrites struct {
	ring [maxSentWrites]sentWrite
	last uint64
}

// add gives a write the next number, from 1, and keeps it.
func (s *sentWrites) add(w sentWrite) *sentWrite {
	s.last++
	w.number = s.last
	w.state.Write = s.last
	slot := &s.ring[s.last%maxSentWrites]
	*slot = w
	return slot
}

// find returns the write with a number, nil when it was overwritten or never sent.
func (s *sentWrites) find(number uint64) *sentWrite {
	slot := &s.ring[number%maxSentWrites]
	if number == 0 || slot.number != number {
		return nil
	}
	return slot
}
