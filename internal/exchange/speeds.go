package exchange

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// Speeds is the observations of endpoints' speeds in a hub's reply to one daemon: those of all
// daemons, which are the same in every reply and encoded once, and the part that this daemon has
// reported itself.
type Speeds struct {
	All speed.Observations // shared, must not be modified
	Own speed.Observations // likewise

	encoded *exchangepb.Speeds // All in its encoded form; set by a hub only
}

// Others returns the observations without the daemon's own part.
func (s *Speeds) Others() speed.Observations { return s.All.Without(s.Own) }

const (
	// minSpeedsInterval is the least time between two reports of a daemon's observations, and
	// minSumsInterval that between two replies with sums. They count for several times as long,
	// and with half of minSumsInterval control would use more than 7 KB a second.
	minSpeedsInterval = 500 * time.Millisecond
	minSumsInterval   = time.Second
	// BackupSpeedsEvery is the number of reports of observations to a daemon's hub for each to its
	// backup hub, whose sums are needed only after the former has failed.
	BackupSpeedsEvery = 4
	// speedsPerDaemon bounds the messages of observations to a hub, and those that it relays.
	speedsPerDaemon = 4 * time.Millisecond
	// speedsPerEndpoint bounds the sums that a daemon receives to 2 KB a second at any number of
	// endpoints, each of which takes 8 bytes.
	speedsPerEndpoint = 4 * time.Millisecond
)

// SpeedsInterval returns the time between two reports of a daemon's observations of speeds in a
// fleet of so many daemons.
func SpeedsInterval(daemons int) time.Duration {
	return max(minSpeedsInterval, time.Duration(daemons)*speedsPerDaemon)
}

// speedSumsInterval returns the time between two replies with the sums for so many endpoints.
func speedSumsInterval(endpoints int) time.Duration {
	return max(minSumsInterval, time.Duration(endpoints)*speedsPerEndpoint)
}

// Units of encoded observations.
const (
	weightUnits = 4.0
	logUnits    = 64.0
	loadUnits   = 100.0
	// minSentWeight is the weight below which observations aren't sent.
	minSentWeight = 1
	// maxWeight bounds a decoded weight: all daemons see some thousand samples of an endpoint in
	// the time for which they count.
	maxWeight = 1e4
	// maxLog bounds a decoded logarithm: e^20 is a half billion seconds.
	maxLog = 20.0
)

func encodeSpeeds(all speed.Observations) *exchangepb.Speeds {
	if len(all) == 0 {
		return nil
	}
	out := &exchangepb.Speeds{}
	for key, o := range all {
		if o.Weight < minSentWeight {
			continue
		}
		out.Endpoints = append(out.Endpoints, uint32(key))
		out.Weight = append(out.Weight, uint32(math.Round(o.Weight*weightUnits)))
		out.LogSeconds = append(out.LogSeconds, int32(math.Round(o.LogEventSeconds*logUnits)))
		out.Load = append(out.Load, uint32(math.Round(o.Load*loadUnits)))
	}
	return out
}

// decodeSpeeds ignores the elements of a list that have no counterpart in the others.
func decodeSpeeds(p *exchangepb.Speeds) speed.Observations {
	n := min(len(p.GetEndpoints()), len(p.GetWeight()), len(p.GetLogSeconds()), len(p.GetLoad()))
	if n == 0 {
		return nil
	}
	out := make(speed.Observations, n)
	for i := range n {
		out[rendezvous.ShortKey(p.Endpoints[i])] = speed.Observation{
			Weight:          min(float64(p.Weight[i])/weightUnits, maxWeight),
			LogEventSeconds: bounded(float64(p.LogSeconds[i])/logUnits, maxLog),
			Load:            min(float64(p.Load[i])/loadUnits, 1),
		}
	}
	return out
}

// bounded returns a value within a limit on its magnitude.
func bounded(v, limit float64) float64 { return min(max(v, -limit), limit) }
