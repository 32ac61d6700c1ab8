package membership

import "time"

// health is a score of how badly this daemon itself does: probes that fail
// though others could be heard speak against the target, missing Nacks speak
// against ourselves. Its timeouts stretch with the score (Lifeguard's local
// health; Dadgar, Phillips and Currey, 2018).
type health struct {
	score int
}

func (h *health) improve() { h.score = max(0, h.score-1) }

func (h *health) worsen(asked, nacks, limit int) {
	if limit <= 0 {
		return
	}
	h.score = min(limit, h.score+max(0, asked-nacks))
}

func (h *health) scale(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}
