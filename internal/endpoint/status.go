package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// maxFailureBody bounds what is read of a refusal's body, bytes.
const maxFailureBody = 4 << 10

// readRefusal returns the error for a model engine's refusal. notFound is the error
// for status 404.
func readRefusal(resp *http.Response, notFound error) error {
	var refusal engineapi.Refusal
	// A body that isn't JSON leaves the message empty; the status is enough.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxFailureBody)).Decode(&refusal)
	return refusalError(resp, refusal, notFound)
}

func refusalError(resp *http.Response, refusal engineapi.Refusal, notFound error) error {
	err := &StatusError{
		Status:     resp.StatusCode,
		Message:    refusal.Error,
		RetryAfter: retryAfter(resp.Header),
		Fencing:    refusal.Fencing,
		cause:      causeOf(resp.StatusCode, notFound),
	}
	return verdict.Wrap(refusalVerdict(resp.StatusCode), Error.Wrap(err))
}

func causeOf(status int, notFound error) error {
	switch status {
	case http.StatusNotFound:
		return notFound
	case http.StatusConflict:
		return ErrFenced
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return nil
	}
}

// refusalVerdict returns the verdict of a model engine's refusal. By their
// contract, engines send these statuses before they start anything. It doesn't hold
// for plain services.
func refusalVerdict(status int) verdict.Verdict {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

// retryAfter returns a Retry-After value in seconds, 0 for none or a date.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
