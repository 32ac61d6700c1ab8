package engine

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// loadSteps is the resolution of lagging reports: a report is at most
// LoadLag/loadSteps older than LoadLag.
const loadSteps = 16

type loadSample struct {
	from time.Time
	load engineapi.Load
}

// loadHistory hands out load reports that are older by a lag. The caller
// guards it.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

// record notes the load as of now.
func (h *loadHistory) record(now time.Time, load engineapi.Load) {
	last := len(h.samples) - 1
	if last >= 0 && now.Sub(h.samples[last].from) < h.lag/loadSteps {
		h.samples[last].load = load
		return
	}
	h.samples = append(h.samples, loadSample{from: now, load: load})
	h.prune(now)
}

// prune keeps one sample that is older than the lag, for report.
func (h *loadHistory) prune(now time.Time) {
	for len(h.samples) > 1 && !h.samples[1].from.After(now.Add(-h.lag)) {
		h.samples = h.samples[1:]
	}
}

// report returns the newest load that is older than the lag.
func (h *loadHistory) report(now time.Time) engineapi.Load {
	h.prune(now)
	sample := h.samples[0]
	taken := now.Add(-h.lag)
	if sample.from.After(taken) {
		taken = sample.from
	}
	sample.load.TakenAtMillis = taken.UnixMilli()
	return sample.load
}
