package estimate

import "github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"

// Defaults of an engine that has not reported yet.
const (
	defaultSlots            = 16
	defaultPrefillPerSecond = 4000 // tokens
	defaultTokenMillis      = 20.0
)

// maxReportAge is the age in ns above which a report is ignored.
const maxReportAge = int64(60e9)

// Engine estimates the load of one engine. The zero value is an engine without
// reports and requests, which is estimated to be idle.
type Engine struct {
	report   engineapi.Load
	takenAt  int64       // ns; 0 before the first report
	others   Outstanding // of other daemons when the report was taken
	average  average     // of others
	own      Outstanding // of this daemon
	history  history     // of own
	reserved Outstanding // for requests that are being moved here
}

// View is an engine's estimated load at one moment.
type View struct {
	Requests      float64 // running and queued, of all daemons
	WaitingTokens float64 // uncached prompt tokens to prefill
	Slots         float64 // requests that run at once
	PrefillRate   float64 // tokens a second
	TokenSeconds  float64 // between tokens, as reported
}

// Report records a load report. It ignores one that is not newer than the last.
func (e *Engine) Report(load engineapi.Load) {
	at := load.TakenAtMillis * 1e6
	if at <= e.takenAt {
		return
	}
	e.report, e.takenAt = load, at
	own := e.history.at(at)
	e.others = Outstanding{
		Requests:      max(0, load.Running+load.Queued-own.Requests),
		WaitingTokens: max(0, load.QueuedPromptTokens-own.WaitingTokens),
	}
	e.average.add(at, e.others)
}

// Dispatched counts a request that this daemon sent, with its uncached prompt
// tokens.
func (e *Engine) Dispatched(now int64, uncached int) {
	e.own.Requests++
	e.own.WaitingTokens += uncached
	e.history.add(now, e.own)
}

// Prefilled records that the prompt of a request has been prefilled.
func (e *Engine) Prefilled(now int64, uncached int) {
	e.own.WaitingTokens -= uncached
	e.history.add(now, e.own)
}

// Finished removes a request. uncached is 0 after Prefilled.
func (e *Engine) Finished(now int64, uncached int) {
	e.own.Requests--
	e.own.WaitingTokens -= uncached
	e.history.add(now, e.own)
}

// Reserve counts a request that is being moved here, with its prompt tokens to
// prefill.
func (e *Engine) Reserve(tokens int) {
	e.reserved.Requests++
	e.reserved.WaitingTokens += tokens
}

// Release removes a request counted by Reserve.
func (e *Engine) Release(tokens int) {
	e.reserved.Requests--
	e.reserved.WaitingTokens -= tokens
}

// Own returns this daemon's outstanding requests.
func (e *Engine) Own() Outstanding { return e.own }

// Slots returns how many requests the engine can run at once.
func (e *Engine) Slots() float64 { return positive(float64(e.report.Slots), defaultSlots) }

// PrefillRate returns the engine's prefill rate in tokens a second.
func (e *Engine) PrefillRate() float64 {
	return positive(float64(e.report.PrefillPerSecond), defaultPrefillPerSecond)
}

// View returns the estimate at a time in ns.
func (e *Engine) View(now int64) View {
	v := View{
		Requests:      float64(e.own.Requests + e.reserved.Requests),
		WaitingTokens: float64(e.own.WaitingTokens + e.reserved.WaitingTokens),
		Slots:         e.Slots(),
		PrefillRate:   e.PrefillRate(),
		TokenSeconds:  positive(e.report.TokenMillis, defaultTokenMillis) / 1000,
	}
	age := max(0, now-e.takenAt)
	if e.takenAt == 0 || age > maxReportAge {
		return v
	}
	v.Requests += e.average.requests.expect(float64(e.others.Requests), age)
	v.WaitingTokens += e.average.waiting.expect(float64(e.others.WaitingTokens), age)
	return v
}

func positive(reported, fallback float64) float64 {
	if reported > 0 {
		return reported
	}
	return fallback
}
