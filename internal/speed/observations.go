package speed

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Observations is observations by endpoint.
type Observations map[rendezvous.ShortKey]Observation

// Add adds what was observed a while ago.
func (o Observations) Add(other Observations, age time.Duration) {
	share := Remainder(age)
	for key, v := range other {
		o[key] = o[key].Add(v.Remaining(share))
	}
}

// Without returns the observations without a part of them.
func (o Observations) Without(part Observations) Observations {
	out := make(Observations, len(o))
	for key, v := range o {
		if left := v.Without(part[key]); left.DecodeWeight > 0 || left.PrefillWeight > 0 {
			out[key] = left
		}
	}
	return out
}

// Aged returns the observations as they count after a time without samples.
func (o Observations) Aged(age time.Duration) Observations {
	out, share := make(Observations, len(o)), Remainder(age)
	for key, v := range o {
		out[key] = v.Remaining(share)
	}
	return out
}
