package endpoint

import (
	"io"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Answer is a plain service's answer. Body must be closed.
type Answer struct {
	Status int
	Header http.Header // without the hop-by-hop fields
	Body   io.ReadCloser
}

func newAnswer(p *pool, gen *generation, wd *watchdog, resp *http.Response, stallTimeout time.Duration) *Answer {
	body := &answerBody{src: resp.Body, pool: p, gen: gen, watchdog: wd, stallTimeout: stallTimeout}
	body.verdict = statusVerdict(resp.StatusCode)
	return &Answer{Status: resp.StatusCode, Header: withoutHopByHop(resp.Header), Body: body}
}

// Verdict returns whether the service ran the call. A 5xx status proves neither.
func (a *Answer) Verdict() verdict.Verdict { return statusVerdict(a.Status) }

func statusVerdict(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// answerBody reads an answer's body under a stall timeout. Its errors carry the
// answer's verdict.
type answerBody struct {
	src          io.ReadCloser
	pool         *pool
	gen          *generation
	watchdog     *watchdog
	stallTimeout time.Duration // 0 is none
	verdict      verdict.Verdict
}

func (b *answerBody) Read(p []byte) (int, error) {
	if b.stallTimeout > 0 {
		b.watchdog.arm(b.stallTimeout)
	}
	n, err := b.src.Read(p)
	b.watchdog.disarm()
	if err == nil || err == io.EOF {
		return n, err
	}
	stall := &StallError{Address: b.pool.address, Stage: BetweenPieces, After: b.stallTimeout}
	return n, verdict.Wrap(b.verdict, b.pool.wrapFailure(b.watchdog, b.gen, err, stall))
}

func (b *answerBody) Close() error {
	err := b.src.Close()
	b.watchdog.stop()
	return err
}
