package estimate

// Constants of what is usual at an engine.
const (
	// usualSpan is the time over which reports are averaged, in ns: several
	// answers long, so that it holds no single burst.
	usualSpan = int64(15e9)
	// reportFade is the age, in ns, at which a report tells no more about the
	// present than the average does, half and half: about one answer's time,
	// after which the requests that it counted are gone.
	reportFade = int64(0.5e9)
)

// mean is a moving average of a reported quantity.
type mean struct {
	value float64
	known bool
}

// usual follows what other daemons usually have at an engine. A report that
// is older than an answer takes describes requests that are gone; choosing by
// it sends everybody to the engine that was idle then (Mitzenmacher, 2000,
// "How useful is old information?"). So it is drawn towards the average as it
// ages.
type usual struct {
	at                int64
	requests, waiting mean
}

func (u *usual) add(at int64, own Own) {
	gain := float64(at-u.at) / float64(usualSpan)
	u.at = at
	u.requests.add(float64(own.Requests), min(1, gain))
	u.waiting.add(float64(own.WaitingTokens), min(1, gain))
}

func (m *mean) add(x, gain float64) {
	if !m.known {
		m.value, m.known = x, true
		return
	}
	m.value += gain * (x - m.value)
}

// expect returns the quantity now, given a report of an age in ns.
func (m *mean) expect(reported float64, age int64) float64 {
	fresh := float64(reportFade) / float64(reportFade+age)
	return m.value + fresh*(reported-m.value)
}
