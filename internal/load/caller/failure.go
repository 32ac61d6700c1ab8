package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// failure is an error answer, of problem details and a verdict.
type failure struct {
	status     int
	verdict    verdict.Verdict
	hasVerdict bool
	retryAfter time.Duration // 0: no hint
	err        error
}

// maxProblem bounds the read of a problem's body, in bytes.
const maxProblem = 64 << 10

// readFailure reads an error answer and closes its body.
func readFailure(resp *http.Response) *failure {
	defer drain(resp)
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
	f := parseProblem(body)
	f.status = resp.StatusCode
	if text := resp.Header.Get(verdict.Header); text != "" {
		f.hasVerdict = f.verdict.UnmarshalText([]byte(text)) == nil
	}
	f.retryAfter = retryAfter(resp.Header.Get("Retry-After"), time.Now())
	return f
}

// parseProblem decodes problem details. A failure without a verdict counts as
// may-have-run.
func parseProblem(body []byte) *failure {
	var raw struct {
		problem.Problem
		Verdict *verdict.Verdict `json:"verdict"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return &failure{err: Error.New("failure answer without problem details")}
	}
	f := &failure{status: raw.Status, err: Error.New("%d %s", raw.Status, raw.Detail)}
	if raw.Verdict != nil {
		f.verdict, f.hasVerdict = *raw.Verdict, true
	}
	return f
}

// retryAfter parses Retry-After: seconds or an HTTP date. It is 0 for neither.
func retryAfter(value string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(value); err == nil {
		return max(0, time.Duration(n)*time.Second)
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}

// transportVerdict derives a verdict from a transport error. Only a failed dial
// proves that nothing was sent.
func transportVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
