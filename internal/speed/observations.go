package speed

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Observations is observations by endpoint.
type Observations map[rendezvous.ShortKey]Observation

// Add adds what was observed a while ago.
func (o Observations) Add(other Observations, age time.Duration) {
	part := Decay(age)
	for key, v := range other {
		o[key] = o[key].Add(v.Scaled(part))
	}
}

// Without returns the observations without a part of them.
func (o Observations) Without(part Observations) Observations {
	out := make(Observations, len(o))
	for key, v := range o {
		if left := v.Without(part[key]); left.Weight > 0 {
			out[key] = left
		}
	}
	return out
}

// Aged returns the observations as they count after a time without samples.
func (o Observations) Aged(age time.Duration) Observations {
	out, part := make(Observations, len(o)), Decay(age)
	for key, v := range o {
		out[key] = v.Scaled(part)
	}
	return out
}
