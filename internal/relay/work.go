package relay

import "maps"

// Work is the work that the endpoints of a service were requested to do, as running
// totals.
type Work struct {
	Requests int // sent by callers, accepted or not
	Refused  int // of them, refused for lack of capacity
	// SlotSeconds is the estimated time for which the requests occupy a slot of an
	// endpoint that isn't overloaded. Its rate is the number of slots in use there;
	// unlike that of measured times it doesn't grow when endpoints slow down.
	SlotSeconds float64
	// Prefill is the prompt tokens that endpoints have to process, without those
	// that the chosen endpoint is expected to have cached.
	Prefill float64
	// Prompt is all prompt tokens.
	Prompt float64
}

const (
	// firstTokenSeconds is the estimated time from a request's start at an engine
	// to its first token.
	firstTokenSeconds = 0.1
	// outputTokenSeconds is the estimated time of an output token at an engine of
	// the platform's published classes with half of its slots in use.
	outputTokenSeconds = 0.0065
)

// workTotals counts the work of each service.
type workTotals struct{ byService map[string]Work }

func newWorkTotals() *workTotals { return &workTotals{byService: map[string]Work{}} }

// countRequest counts a request with its expected output tokens, its prompt tokens
// and those of them that have to be processed.
func (t *workTotals) countRequest(service string, output, prompt, prefill int) {
	w := t.byService[service]
	w.Requests++
	w.SlotSeconds += firstTokenSeconds + outputTokenSeconds*float64(output)
	w.Prefill += float64(prefill)
	w.Prompt += float64(prompt)
	t.byService[service] = w
}

func (t *workTotals) countRefused(service string) {
	w := t.byService[service]
	w.Refused++
	t.byService[service] = w
}

func (t *workTotals) snapshot() map[string]Work { return maps.Clone(t.byService) }
