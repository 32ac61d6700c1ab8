package outside

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
)

const (
	// defaultAfter is assumed where a 429 doesn't say how long to wait.
	defaultAfter = time.Second
	// longestAfter bounds what a 429 can ask for.
	longestAfter = time.Minute
	// soonest is the shortest deadline of a caller that counts as a failure of the API when it
	// passes.
	soonest = 500 * time.Millisecond
	// maxDetail bounds the text that is kept of a rejection, in bytes.
	maxDetail = 512
)

// classify makes an error of an answer that is not 2xx.
func classify(o operation, a answer) error {
	switch {
	case a.status >= 200 && a.status < 300:
		return nil
	case a.status == http.StatusTooManyRequests:
		return &RateLimited{After: retryAfter(a.header)}
	case a.status == http.StatusServiceUnavailable && o.refuses:
		return &Unavailable{Err: Error.New("%s", detailOf(a))}
	case a.status >= 500 && o.write:
		return ambiguous(Error.New("%d: %s", a.status, detailOf(a)))
	case a.status >= 500:
		return &Unavailable{Err: Error.New("%d: %s", a.status, detailOf(a))}
	default:
		return &Rejected{Status: a.status, Detail: detailOf(a)}
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return defaultAfter
	}
	return min(time.Duration(seconds)*time.Second, longestAfter)
}

func detailOf(a answer) string {
	var f jsonio.Failure
	if json.Unmarshal(a.body, &f) == nil && f.Detail != "" {
		return f.Detail[:min(len(f.Detail), maxDetail)]
	}
	return string(a.body[:min(len(a.body), maxDetail)])
}

// outcomeOf returns what a call's end shows of the API's health. The context is
// the caller's, without the call's own timeout.
func outcomeOf(ctx context.Context, err error, took time.Duration) budget.Outcome {
	var (
		limited     *RateLimited
		unavailable *Unavailable
		ambiguous   *Ambiguous
	)
	switch {
	case statusOf(err) == http.StatusPreconditionFailed:
		return budget.Outcome{Result: budget.Lost}
	case errors.As(err, &limited):
		return budget.Outcome{Result: budget.Limited, After: limited.After}
	case !errors.As(err, &unavailable) && !errors.As(err, &ambiguous):
		return budget.Outcome{Result: budget.Answered}
	case errors.Is(ctx.Err(), context.Canceled), ctx.Err() != nil && took < soonest:
		return budget.Outcome{Result: budget.Abandoned}
	default:
		return budget.Outcome{Result: budget.Failed}
	}
}

// resultOf names a call's end for metrics.
func resultOf(err error) Result {
	var (
		conflict  *Conflict
		notFound  *NotFound
		gone      *Gone
		ambiguous *Ambiguous
		refused   *Refused
		limited   *RateLimited
		rejected  *Rejected
	)
	switch {
	case err == nil:
		return ResultOK
	case errors.As(err, &ambiguous):
		return ResultAmbiguous
	case errors.As(err, &refused):
		return ResultRefused
	case errors.As(err, &limited):
		return ResultRateLimited
	case errors.As(err, &conflict):
		return ResultConflict
	case errors.As(err, &notFound):
		return ResultNotFound
	case errors.As(err, &gone):
		return ResultGone
	case errors.As(err, &rejected):
		return rejectedResult(rejected)
	default:
		return ResultUnavailable
	}
}

// rejectedResult names the statuses that the clients give types of their own
// after the call was counted.
func rejectedResult(e *Rejected) Result {
	switch e.Status {
	case http.StatusNotFound:
		return ResultNotFound
	case http.StatusGone:
		return ResultGone
	case http.StatusPreconditionFailed:
		return ResultConflict
	default:
		return ResultRejected
	}
}
