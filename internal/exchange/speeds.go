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
	// minSumsInterval that between two replies with sums. They count for several times as long.
	// With half of minSumsInterval a daemon of a fleet of 78 would use more than 7 KB a second.
	minSpeedsInterval = 700 * time.Millisecond
	minSumsInterval   = 1500 * time.Millisecond
	// BackupSpeedsEvery is the number of reports of observations to a daemon's hub for each to its
	// backup hub, whose sums are needed only after the former has failed.
	BackupSpeedsEvery = 4
	// speedsPerDaemon bounds the messages of observations to a hub, and those that it relays.
	speedsPerDaemon = 4 * time.Millisecond
	// speedsPerEndpoint bounds the sums that a daemon receives to 2 KB a second at any number of
	// endpoints, each of which takes 12 bytes.
	speedsPerEndpoint = 6 * time.Millisecond
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
	// maxWeight bounds a decoded weight: a daemon sees a few hundred samples of an endpoint
	// in the time for which they count.
	maxWeight = 1e5
	// maxLog bounds a decoded logarithm: e^20 is a half billion seconds or tokens.
	maxLog = 20.0
)

func encodeSpeeds(all speed.Observations) *exchangepb.Speeds {
	if len(all) == 0 {
		return nil
	}
	out := &exchangepb.Speeds{}
	for key, o := range all {
		o = withoutLittle(o)
		if o.DecodeWeight == 0 && o.PrefillWeight == 0 {
			continue
		}
		out.Endpoints = append(out.Endpoints, uint32(key))
		out.DecodeWeight = append(out.DecodeWeight, uint32(math.Round(o.DecodeWeight*weightUnits)))
		out.DecodeLog = append(out.DecodeLog, int32(math.Round(o.LogEventSeconds*logUnits)))
		out.DecodeLoad = append(out.DecodeLoad, uint32(math.Round(o.Load*loadUnits)))
		out.PrefillWeight = append(out.PrefillWeight, uint32(math.Round(o.PrefillWeight*weightUnits)))
		out.PrefillLog = append(out.PrefillLog, int32(math.Round(o.LogPrefillRate*logUnits)))
	}
	return out
}

// withoutLittle returns an observation without the parts that aren't sent.
func withoutLittle(o speed.Observation) speed.Observation {
	if o.DecodeWeight < minSentWeight {
		o.DecodeWeight, o.LogEventSeconds, o.Load = 0, 0, 0
	}
	if o.PrefillWeight < minSentWeight {
		o.PrefillWeight, o.LogPrefillRate = 0, 0
	}
	return o
}

// decodeSpeeds ignores the elements of a list that have no counterpart in the others.
func decodeSpeeds(p *exchangepb.Speeds) speed.Observations {
	n := min(len(p.GetEndpoints()), len(p.GetDecodeWeight()), len(p.GetDecodeLog()), len(p.GetDecodeLoad()), len(p.GetPrefillWeight()), len(p.GetPrefillLog()))
	if n == 0 {
		return nil
	}
	out := make(speed.Observations, n)
	for i := range n {
		out[rendezvous.ShortKey(p.Endpoints[i])] = speed.Observation{
			DecodeWeight:    min(float64(p.DecodeWeight[i])/weightUnits, maxWeight),
			LogEventSeconds: bounded(float64(p.DecodeLog[i])/logUnits, maxLog),
			Load:            min(float64(p.DecodeLoad[i])/loadUnits, 1),
			PrefillWeight:   min(float64(p.PrefillWeight[i])/weightUnits, maxWeight),
			LogPrefillRate:  bounded(float64(p.PrefillLog[i])/logUnits, maxLog),
		}
	}
	return out
}

// bounded returns a value within a limit on its magnitude.
func bounded(v, limit float64) float64 { return min(max(v, -limit), limit) }
