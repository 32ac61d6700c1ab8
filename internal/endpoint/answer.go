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
	Header http.Header // without what concerns one connection
	Body   io.ReadCloser
}

func newAnswer(p *pool, gen *generation, dog *watchdog, resp *http.Response, between time.Duration) *Answer {
	body := &answerBody{src: resp.Body, pool: p, gen: gen, dog: dog, between: between}
	body.verdict = statusVerdict(resp.StatusCode)
	return &Answer{Status: resp.StatusCode, Header: withoutHopByHop(resp.Header), Body: body}
}

// Verdict says whether the service ran the call. 5xx is no proof of either.
func (a *Answer) Verdict() verdict.Verdict { return statusVerdict(a.Status) }

func statusVerdict(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// answerBody reads an answer's body under a progress deadline. Its errors
// carry the answer's verdict.
type answerBody struct {
	src     io.ReadCloser
	pool    *pool
	gen     *generation
	dog     *watchdog
	between time.Duration
	verdict verdict.Verdict
}

func (b *answerBody) Read(p []byte) (int, error) {
	if b.between > 0 {
		b.dog.arm(b.between)
	}
	n, err := b.src.Read(p)
	b.dog.rest()
	if err == nil || err == io.EOF {
		return n, err
	}
	silent := &Silent{Address: b.pool.address, Stage: Between, After: b.between}
	return n, verdict.Wrap(b.verdict, b.pool.failure(b.dog, b.gen, err, silent))
}

func (b *answerBody) Close() error {
	err := b.src.Close()
	b.dog.stop()
	return err
}
