package exchange

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

func encodeRateLimits(all []backpressure.Statement) []*exchangepb.RateLimit {
	out := make([]*exchangepb.RateLimit, 0, len(all))
	for i := range all {
		s := &all[i]
		p := &exchangepb.RateLimit{
			Endpoint: uint32(s.Endpoint), PerSecond: s.PerSecond, Ended: !s.InForce && !s.Leaving, Leaving: s.Leaving, AtMs: s.At.UnixMilli(),
		}
		if !s.StartedAt.IsZero() {
			p.StartedMs = s.StartedAt.UnixMilli()
		}
		out = append(out, p)
	}
	return out
}

// decodeRateLimits skips limits that aren't a number of requests.
func decodeRateLimits(all []*exchangepb.RateLimit) []backpressure.Statement {
	var out []backpressure.Statement
	for _, p := range all {
		if !(p.GetPerSecond() >= 0) || math.IsInf(p.GetPerSecond(), 0) {
			continue
		}
		s := backpressure.Statement{
			Endpoint: rendezvous.ShortKey(p.GetEndpoint()), InForce: !p.GetEnded() && !p.GetLeaving(), Leaving: p.GetLeaving(), PerSecond: p.GetPerSecond(), At: time.UnixMilli(p.GetAtMs()),
		}
		if p.GetStartedMs() != 0 {
			s.StartedAt = time.UnixMilli(p.GetStartedMs())
		}
		out = append(out, s)
	}
	return out
}

func encodeRateLimitPosition(p backpressure.Position) *exchangepb.Position {
	return &exchangepb.Position{Epoch: p.Epoch, Seq: p.Seq}
}

func decodeRateLimitPosition(p *exchangepb.Position) backpressure.Position {
	return backpressure.Position{Epoch: p.GetEpoch(), Seq: p.GetSeq()}
}
