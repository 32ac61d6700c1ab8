package estimate

// Outstanding counts unfinished requests at one engine.
type Outstanding struct {
	Requests      int // dispatched and not finished
	WaitingTokens int // uncached prompt tokens of the requests without a first token
}

// Bounds of a history.
const (
	// historyLen times historyStep covers reports that are up to 16 s old. An
	// older report may be taken to count none of this daemon's requests, which
	// overestimates the load.
	historyLen  = 32
	historyStep = int64(500e6) // ns
)

type sample struct {
	at  int64 // ns; 0 is an unused sample
	own Outstanding
}

// history is a ring buffer of this daemon's outstanding requests in the recent
// past, with one sample for each step in which they changed.
type history struct {
	ring [historyLen]sample
	next uint8 // index of the next sample to write
}

// add records that own is outstanding from now on.
func (h *history) add(now int64, own Outstanding) {
	last := &h.ring[(h.next+historyLen-1)%historyLen]
	if last.at != 0 && now/historyStep == last.at/historyStep {
		last.own = own
		return
	}
	h.ring[h.next] = sample{at: now, own: own}
	h.next = (h.next + 1) % historyLen
}

// at returns what was outstanding at a time, and zero before the oldest sample.
func (h *history) at(t int64) Outstanding {
	for i := 1; i <= historyLen; i++ {
		s := &h.ring[(int(h.next)+historyLen-i)%historyLen]
		if s.at != 0 && s.at <= t {
			return s.own
		}
	}
	return Outstanding{}
}
