package origin

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// maxStored bounds the streams of a stored record: with base64 some 90 KB. Values of the store
// have a megabyte at most.
const maxStored = 1 << 13

// keyBytes is the length of an encoded key.
const keyBytes = 8

// Streams is what a daemon stores of the origins of its own streams, for its next start after
// all daemons were killed.
type Streams struct {
	At  time.Time `json:"at"`  // by the fleet's clock
	Era uint64    `json:"era"` // the store's, as the writer knew it
	// Begun are the streams by their origin.
	Begun []Begun `json:"begun,omitempty"`
	// Unknown are the keys of streams whose origin isn't known: another daemon's record may
	// still state one.
	Unknown []byte `json:"unknown,omitempty"`
}

// Begun is the streams of one origin.
type Begun struct {
	Origin
	Keys []byte `json:"keys"` // 8 bytes each
}

// StreamOrigin is the origin of a stream.
type StreamOrigin struct {
	Key
	Origin
	Unknown  bool // contradicted or revoked
	Restored bool // from the store, and not confirmed since
}

// NewStreams returns the record of some streams, newest first, of which the oldest are left out
// beyond maxStored. Streams of unknown origin are never left out for others.
func NewStreams(at time.Time, era uint64, all []StreamOrigin) *Streams {
	out, keys, left := &Streams{At: at, Era: era}, map[Origin][]byte{}, maxStored
	for _, s := range all {
		if s.Unknown && left > 0 {
			out.Unknown, left = binary.BigEndian.AppendUint64(out.Unknown, uint64(s.Key)), left-1
		}
	}
	for _, s := range all {
		if !s.Unknown && left > 0 {
			keys[s.Origin], left = binary.BigEndian.AppendUint64(keys[s.Origin], uint64(s.Key)), left-1
		}
	}
	for o, k := range keys {
		out.Begun = append(out.Begun, Begun{o, k})
	}
	slices.SortFunc(out.Begun, func(a, b Begun) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Check returns why a record can't be used at a daemon's start. now is the fleet's time as far
// as the daemon knows it, era the store's. Origins never change, so that an old record is wrong
// only where an origin became unknown since: a clock that is wrong by less than maxHorizon does
// no harm.
func (s *Streams) Check(now time.Time, era uint64) error {
	switch {
	case s.At.IsZero() || !s.valid():
		return Error.New("the record is invalid")
	case s.Era != era:
		return Error.New("the record is of era %d of the store, not %d", s.Era, era)
	case s.At.Sub(now) > maxHorizon:
		return ErrLater
	case now.Sub(s.At) > maxHorizon:
		return Error.New("the record is %v old", now.Sub(s.At).Round(time.Second))
	}
	return nil
}

func (s *Streams) valid() bool {
	keys := len(s.Unknown)
	for _, b := range s.Begun {
		if b.Service == "" || len(b.Keys)%keyBytes != 0 {
			return false
		}
		keys += len(b.Keys)
	}
	return len(s.Unknown)%keyBytes == 0 && keys <= maxStored*keyBytes
}

// Len returns the number of streams.
func (s *Streams) Len() int {
	n := len(s.Unknown)
	for _, b := range s.Begun {
		n += len(b.Keys)
	}
	return n / keyBytes
}

// All returns the streams of a valid record.
func (s *Streams) All() []StreamOrigin {
	var out []StreamOrigin
	for keys := s.Unknown; len(keys) > 0; keys = keys[keyBytes:] {
		out = append(out, StreamOrigin{Key: Key(binary.BigEndian.Uint64(keys)), Unknown: true, Restored: true})
	}
	for _, b := range s.Begun {
		for keys := b.Keys; len(keys) > 0; keys = keys[keyBytes:] {
			out = append(out, StreamOrigin{Key: Key(binary.BigEndian.Uint64(keys)), Origin: b.Origin, Restored: true})
		}
	}
	return out
}

const (
	// minStoreInterval is the least time between two writes of a daemon: streams that began since the
	// last one are lost in a kill of all, and with a second half of those that last a second are.
	minStoreInterval = 250 * time.Millisecond
	// fleetWrites bounds the writes a second of all daemons: a quarter of the least rate of the
	// platforms that are served, 400 writes a second.
	fleetWrites = 100
)

// storeInterval returns the time between two writes of a daemon in a fleet.
func storeInterval(daemons int) time.Duration {
	return max(minStoreInterval, time.Duration(min(daemons, Writers))*time.Second/fleetWrites)
}

// maxStoreInterval bounds the time between two writes that fail: each call is billed, also where
// the store is away, and streams that begin after its return are to be stored soon.
const maxStoreInterval = 3 * time.Second

// Schedule decides when a daemon stores the origins of streams. It is not safe for concurrent use.
type Schedule struct {
	last    time.Time // when the last write began
	busy    bool
	failed  int    // writes that failed in a row
	written Stored // by the last write that succeeded
}

// Moment is what decides whether a daemon writes.
type Moment struct {
	Needed  bool // this daemon stores origins, and several versions may have begun the streams
	Daemons int  // of the fleet
	Stored
}

// Stored is what a write is of.
type Stored struct {
	Changes uint64 // see Table.Changes
	Era     uint64 // of the store
}

// Begin reports whether a write is to begin now. End must be called after it.
func (s *Schedule) Begin(now time.Time, m Moment) bool {
	if !m.Needed || s.busy || s.written == m.Stored || now.Sub(s.last) < s.interval(m.Daemons) || m.Changes == 0 {
		return false
	}
	s.busy, s.last = true, now
	return true
}

func (s *Schedule) interval(daemons int) time.Duration {
	if s.failed > 0 {
		return min(time.Duration(1+s.failed)*time.Second, maxStoreInterval)
	}
	return storeInterval(daemons)
}

// End records the result of a write, with the moment of its content. It reports whether that is the
// first failure in a row.
func (s *Schedule) End(m Moment, ok bool) (firstFailure bool) {
	s.busy = false
	if ok {
		s.failed, s.written = 0, m.Stored
		return false
	}
	s.failed++
	return s.failed == 1
}
