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

// failure is an answer that says why there is no answer.
type failure struct {
	status     int
	verdict    verdict.Verdict
	hasVerdict bool
	retryAfter time.Duration // 0: no hint
	err        error
}

// maxProblem bounds the read of a problem's body, in bytes.
const maxProblem = 64 << 10

// readFailure reads a failure answer and closes it.
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

// parseProblem reads a problem's body. Without a verdict in it the failure has
// none, and counts as may-have-run.
func parseProblem(body []byte) *failure {
	var raw struct {
		problem.Problem
		Verdict *verdict.Verdict `json:"verdict"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return &failure{err: Error.New("failure without problem details")}
	}
	f := &failure{status: raw.Status, err: Error.New("%d %s", raw.Status, raw.Detail)}
	if raw.Verdict != nil {
		f.verdict, f.hasVerdict = *raw.Verdict, true
	}
	return f
}

// retryAfter reads the header's two forms.
func retryAfter(value string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(value); err == nil {
		return max(0, time.Duration(n)*time.Second)
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}

// ownVerdict concludes what a transport error proves. Only a failed dial
// proves that nothing was sent.
func ownVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
