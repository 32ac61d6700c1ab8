package relay

import "maps"

// Work is what the endpoints of a service were asked for, as running totals.
type Work struct {
	Requests int // that callers sent, let in or not
	Refused  int // of them, for want of room
	// Hold is the time for which the requests hold a slot of an endpoint that
	// isn't overloaded, in seconds. Its rate is the number of slots in use
	// there, and doesn't grow when endpoints slow down.
	Hold float64
	// Read is the prompt tokens that endpoints have to read, without those
	// that they are believed to hold.
	Read float64
	// Prompt is the prompt tokens in all.
	Prompt float64
}

const (
	// startHold is a request's time at an engine before its first token.
	startHold = 0.1
	// tokenHold is the time of an output token, in seconds, at an engine of
	// the platform's published classes with half of its slots in use.
	tokenHold = 0.0065
)

// loads counts the work of each service.
type loads struct{ work map[string]Work }

func newLoads() *loads { return &loads{work: map[string]Work{}} }

// asked counts a request with its expected output, its prompt and the tokens of
// it to be read.
func (l *loads) asked(service string, output, prompt, read int) {
	w := l.work[service]
	w.Requests++
	w.Hold += startHold + tokenHold*float64(output)
	w.Read += float64(read)
	w.Prompt += float64(prompt)
	l.work[service] = w
}

func (l *loads) refused(service string) {
	w := l.work[service]
	w.Refused++
	l.work[service] = w
}

func (l *loads) snapshot() map[string]Work { return maps.Clone(l.work) }
