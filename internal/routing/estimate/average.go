package estimate

// Constants of what is usual at an engine.
const (
	// averagingTime is the time over which reports are averaged, in ns: several
	// answers long, so that it holds no single burst.
	averagingTime = int64(15e9)
	// halfWeightAge is the age, in ns, at which a report tells no more about the
	// present than the average does, half and half: about one answer's time,
	// after which the requests that it counted are gone.
	halfWeightAge = int64(0.5e9)
)

// ewma is a moving average of a reported quantity.
type ewma struct {
	value float64
	known bool
}

// average follows what other daemons usually have at an engine. A report that
// is older than an answer takes describes requests that are gone; choosing by
// it sends everybody to the engine that was idle then (Mitzenmacher, 2000,
// "How useful is old information?"). So it is drawn towards the average as it
// ages.
type average struct {
	at                int64
	requests, waiting ewma
}

func (a *average) add(at int64, others Outstanding) {
	gain := float64(at-a.at) / float64(averagingTime)
	a.at = at
	a.requests.add(float64(others.Requests), min(1, gain))
	a.waiting.add(float64(others.WaitingTokens), min(1, gain))
}

func (m *ewma) add(x, gain float64) {
	if !m.known {
		m.value, m.known = x, true
		return
	}
	m.value += gain * (x - m.value)
}

// expect returns the quantity now, given a report of an age in ns.
func (m *ewma) expect(reported float64, age int64) float64 {
	fresh := float64(halfWeightAge) / float64(halfWeightAge+age)
	return m.value + fresh*(reported-m.value)
}
