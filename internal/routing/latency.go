package routing

// latencyGain is the weight of the newest sample.
const latencyGain = 0.2

// defaultDecodeSeconds is the time assumed between an answer's first token and
// its last before one was measured.
const defaultDecodeSeconds = 5.0

// latency is an exponentially weighted moving average in seconds. The zero value
// has no sample.
type latency struct {
	mean float64
}

func (l *latency) add(seconds float64) {
	if l.mean == 0 {
		l.mean = seconds
		return
	}
	l.mean += latencyGain * (seconds - l.mean)
}

func (l *latency) value(fallback float64) float64 {
	if l.mean == 0 {
		return fallback
	}
	return l.mean
}
