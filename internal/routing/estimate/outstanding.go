package estimate

// Outstanding counts this daemon's unfinished requests at one engine.
type Outstanding struct {
	Requests      int // dispatched and not finished
	WaitingTokens int // uncached prompt tokens of those without a first token
}

// Bounds of the history of Own.
const (
	// historyLen times historyStep covers a report that is 16 s old; an older
	// one counts all own requests as made since, which errs to the safe side.
	historyLen  = 32
	historyStep = int64(500e6) // ns
)

type sample struct {
	at  int64
	own Outstanding
}

// history keeps what Own was in the recent past, one sample a step.
type history struct {
	ring [historyLen]sample
	next uint8
}

// add records own as it is from now on.
func (h *history) add(now int64, own Outstanding) {
	last := &h.ring[(h.next+historyLen-1)%historyLen]
	if last.at != 0 && now/historyStep == last.at/historyStep {
		last.own = own
		return
	}
	h.ring[h.next] = sample{at: now, own: own}
	h.next = (h.next + 1) % historyLen
}

// at returns what Own was at a time, zero before the oldest sample.
func (h *history) at(t int64) Outstanding {
	for i := 1; i <= historyLen; i++ {
		s := &h.ring[(int(h.next)+historyLen-i)%historyLen]
		if s.at != 0 && s.at <= t {
			return s.own
		}
	}
	return Outstanding{}
}
