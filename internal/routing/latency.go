package routing

// latencyGain is the weight of the newest answer.
const latencyGain = 0.2

// defaultDecodeSeconds is the time of an answer, in seconds, before one was seen.
const defaultDecodeSeconds = 5.0

// latency is a moving average of answer times in seconds.
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
