package membership

import "time"

// health is a score of how likely this daemon itself is slow or badly connected;
// 0 is healthy. If a probe fails and the daemons that were asked for indirect
// probes send Nacks, the target has failed; missing Nacks point to a fault of
// this daemon. Its timeouts grow with the score (Lifeguard's local health; Dadgar,
// Phillips and Currey, 2018).
type health struct {
	score int
}

func (h *health) improve() { h.score = max(0, h.score-1) }

func (h *health) worsen(requests, nacks, limit int) {
	if limit <= 0 {
		return
	}
	h.score = min(limit, h.score+max(0, requests-nacks))
}

func (h *health) scale(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}
