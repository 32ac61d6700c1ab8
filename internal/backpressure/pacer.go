package backpressure

import "time"

// Pacer spaces the requests of this daemon to an endpoint with a rate limit.
type Pacer struct {
	share  Share
	tokens float64
	at     time.Time // time of tokens
}

// SetShare sets this daemon's share. What it has saved stays, up to the new share's burst.
func (p *Pacer) SetShare(now time.Time, s Share) {
	if p.share == s {
		return
	}
	began := p.share.PerSecond == 0
	p.tokens, p.at = p.tokensAt(now), now
	p.share = s
	if began {
		p.tokens = s.Start
	}
	p.tokens = min(p.tokens, s.Burst)
}

func (p *Pacer) tokensAt(now time.Time) float64 {
	return min(p.tokens+p.share.PerSecond*now.Sub(p.at).Seconds(), p.share.Burst)
}

// Ready reports whether a request may be sent.
func (p *Pacer) Ready(now time.Time) bool { return p.tokensAt(now) >= 1 }

// Take takes the place of a request that is sent.
func (p *Pacer) Take(now time.Time) { p.tokens, p.at = p.tokensAt(now)-1, now }

// Wait returns the time until a request may be sent; ok is false if this daemon doesn't
// send.
func (p *Pacer) Wait(now time.Time) (d time.Duration, ok bool) {
	if p.share.PerSecond == 0 {
		return 0, false
	}
	missing := max(1-p.tokensAt(now), 0)
	return time.Duration(missing / p.share.PerSecond * float64(time.Second)), true
}
