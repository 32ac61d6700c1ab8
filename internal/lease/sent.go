package lease

import "time"

// writeKind is what a write of a lease is for.
type writeKind uint8

const (
	acquire writeKind = iota
	renew
	release
)

// sentWrite is a write that was sent.
type sentWrite struct {
	number uint64
	kind   writeKind
	sentAt     time.Time // before it left
	state  State
	prior  Observation // what it replaces
}

// maxSentWrites bounds the writes that a late effect is recognised of. A
// write on the same version is only sent again after a read-back, so more
// than a few can't be on their way at once.
const maxSentWrites = 8

// sentWrites is the last writes, by number.
type sentWrites struct {
	ring [maxSentWrites]sentWrite
	last uint64
}

// add numbers a write from 1 and keeps it.
func (s *sentWrites) add(w sentWrite) *sentWrite {
	s.last++
	w.number = s.last
	w.state.Write = s.last
	slot := &s.ring[s.last%maxSentWrites]
	*slot = w
	return slot
}

// find returns the write with a number, nil when it is too old.
func (s *sentWrites) find(number uint64) *sentWrite {
	slot := &s.ring[number%maxSentWrites]
	if number == 0 || slot.number != number {
		return nil
	}
	return slot
}
