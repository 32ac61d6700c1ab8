package estimate

// Time constants of an average.
const (
	// averagingTime is the period in ns over which reports are averaged. It spans
	// several answers, so that a single burst does not dominate.
	averagingTime = int64(15e9)
	// halfWeightAge is the age in ns at which a report and the average have equal
	// weight. The older the report, the fewer of the requests that it counted are
	// still at the engine.
	halfWeightAge = int64(0.5e9)
)

// ewma is an exponentially weighted moving average of a reported quantity.
type ewma struct {
	value float64
	known bool // false before the first sample
}

// average is the average load of an engine by other daemons' requests. A report
// that is older than the time of an answer counts requests that have ended, and
// choosing by it would send all requests to the engine that was idle then
// (Mitzenmacher, 2000, "How useful is old information?"). The estimate therefore
// moves from the report to the average as the report ages.
type average struct {
	at                int64 // of the newest report, ns
	requests, waiting ewma
}

// add records the load of a report taken at a time.
func (a *average) add(at int64, others Outstanding) {
	gain := float64(at-a.at) / float64(averagingTime)
	a.at = at
	a.requests.add(float64(others.Requests), min(1, gain))
	a.waiting.add(float64(others.WaitingTokens), min(1, gain))
}

// add records a sample with a weight from 0 to 1.
func (m *ewma) add(x, gain float64) {
	if !m.known {
		m.value, m.known = x, true
		return
	}
	m.value += gain * (x - m.value)
}

// expect returns the quantity expected now, given the newest reported value and
// its age in ns.
func (m *ewma) expect(reported float64, age int64) float64 {
	fresh := float64(halfWeightAge) / float64(halfWeightAge+age)
	return m.value + fresh*(reported-m.value)
}
