package exchange

import (
	"math"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// Speeds is the observations of endpoints' speeds in a hub's reply to one daemon: those of all
// daemons and the part that this daemon has reported itself.
type Speeds struct {
	All speed.Observations // shared, must not be modified
	Own speed.Observations // likewise
}

// Units of encoded observations.
const (
	weightUnits = 4.0
	logUnits    = 64.0
	loadUnits   = 100.0
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
		out.Endpoints = append(out.Endpoints, uint32(key))
		out.DecodeWeight = append(out.DecodeWeight, uint32(math.Round(o.DecodeWeight*weightUnits)))
		out.DecodeLog = append(out.DecodeLog, int32(math.Round(o.LogEventSeconds*logUnits)))
		out.DecodeLoad = append(out.DecodeLoad, uint32(math.Round(o.Load*loadUnits)))
		out.PrefillWeight = append(out.PrefillWeight, uint32(math.Round(o.PrefillWeight*weightUnits)))
		out.PrefillLog = append(out.PrefillLog, int32(math.Round(o.LogPrefillRate*logUnits)))
	}
	return out
}

// decodeSpeeds ignores the elements of a list that have no counterpart in the others.
func decodeSpeeds(p *exchangepb.Speeds) speed.Observations {
	n := min(len(p.GetEndpoints()), len(p.GetDecodeWeight()), len(p.GetDecodeLog()), len(p.GetDecodeLoad()), len(p.GetPrefillWeight()), len(p.GetPrefillLog()))
	out := make(speed.Observations, n)
	for i := range n {
		out[rendezvous.ShortKey(p.Endpoints[i])] = speed.Observation{
			DecodeWeight:    min(float64(p.DecodeWeight[i])/weightUnits, maxWeight),
			LogEventSeconds: bounded(float64(p.DecodeLog[i])/logUnits, maxLog),
			Load:            float64(p.DecodeLoad[i]) / loadUnits,
			PrefillWeight:   min(float64(p.PrefillWeight[i])/weightUnits, maxWeight),
			LogPrefillRate:  bounded(float64(p.PrefillLog[i])/logUnits, maxLog),
		}
	}
	return out
}

// bounded returns a value within a limit on its magnitude.
func bounded(v, limit float64) float64 { return min(max(v, -limit), limit) }
