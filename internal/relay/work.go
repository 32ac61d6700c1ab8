package relay

import "maps"

// Work is what the endpoints of a service were asked for, as running totals.
type Work struct {
	Requests int // that callers sent, let in or not
	Refused  int // of them, for want of room
	// SlotSeconds is the time for which the requests hold a slot of an endpoint that
	// isn't overloaded, in seconds. Its rate is the number of slots in use
	// there, and doesn't grow when endpoints slow down.
	SlotSeconds float64
	// Prefill is the prompt tokens that endpoints have to read, without those
	// that they are believed to hold.
	Prefill float64
	// Prompt is the prompt tokens in all.
	Prompt float64
}

const (
	// firstTokenSeconds is a request's time at an engine before its first token.
	firstTokenSeconds = 0.1
	// outputTokenSeconds is the time of an output token, in seconds, at an engine of
	// the platform's published classes with half of its slots in use.
	outputTokenSeconds = 0.0065
)

// workTotals counts the work of each service.
type workTotals struct{ byService map[string]Work }

func newWorkTotals() *workTotals { return &workTotals{byService: map[string]Work{}} }

// countRequest counts a request with its expected output, its prompt and the tokens of
// it to be read.
func (l *workTotals) countRequest(service string, output, prompt, prefill int) {
	w := l.byService[service]
	w.Requests++
	w.SlotSeconds += firstTokenSeconds + outputTokenSeconds*float64(output)
	w.Prefill += float64(prefill)
	w.Prompt += float64(prompt)
	l.byService[service] = w
}

func (l *workTotals) countRefused(service string) {
	w := l.byService[service]
	w.Refused++
	l.byService[service] = w
}

func (l *workTotals) snapshot() map[string]Work { return maps.Clone(l.byService) }
