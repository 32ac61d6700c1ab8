package load

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// orders holds the outcome of each non-idempotent request by its idempotency key.
type orders map[string]orderEnd

// orderEnd is what an outcome guarantees about an order.
type orderEnd uint8

const (
	orderMayHaveRun orderEnd = iota // ran at most once
	orderAnswered                   // ran exactly once
	orderNotRun                     // did not run
)

func (o orders) add(key string, out *caller.Outcome) {
	switch {
	case out.End == caller.Answered:
		o[key] = orderAnswered
	case out.FromServer && out.Verdict == verdict.NotRun && !out.Ambiguous:
		o[key] = orderNotRun
	default:
		o[key] = orderMayHaveRun
	}
}

// check compares the outcomes with how often each key ran. ran is nil if that is
// not known.
func (o orders) check(ran map[string]int) OrderChecks {
	c := OrderChecks{Checked: ran != nil, Sent: int64(len(o))}
	for key, end := range o {
		if end == orderAnswered {
			c.Answered++
		}
		if ran == nil {
			continue
		}
		n := ran[key]
		switch {
		case n > 1:
			c.RanTwice++
		case n == 1 && end == orderNotRun:
			c.NotRunButRan++
		case n == 0 && end == orderAnswered:
			c.AnsweredButNotRun++
		}
	}
	return c
}
