package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Call is a request to a plain service.
type Call struct {
	Workspace int
	Seed      uint64
	Service   string
	Method    string
	Path      string // below the service, with its leading slash
	Body      []byte // JSON, nil for none
	Key       string // idempotency key, empty for none
}

// Call sends a request to a plain service, and retries it where a verdict or the
// idempotency key makes that safe.
func (c *Client) Call(ctx context.Context, r *Call) *Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.o.RequestTimeout)
	defer cancel()
	k := &callState{c: c, r: r, cache: c.cache(r.Workspace, r.Seed), backoff: newBackoff(r.Seed)}
	for {
		s := k.attempt(ctx)
		d, more := k.afterAttempt(ctx, s)
		if !more {
			return &k.out
		}
		if !pause.For(ctx, d) {
			k.finish(k.endByContext(ctx), brokenStep(ctx.Err()))
			return &k.out
		}
	}
}

// callState is the state of one call across its attempts.
type callState struct {
	c       *Client
	r       *Call
	cache   *entryCache
	backoff backoff
	out     Outcome
	address string
}

// attempt sends the request once.
func (k *callState) attempt(ctx context.Context) step {
	k.address = k.cache.pick(ctx, k.address)
	if k.address == "" {
		return brokenStep(Error.New("no entry address is known"))
	}
	ctx, progress := newProgressTimer(ctx, k.c.o.ProgressTimeout)
	defer progress.stop()
	r, err := k.c.request(ctx, k.r.Method, k.address, ServicesPath+k.r.Service+k.r.Path, k.r.Workspace, k.r.Body)
	if err != nil {
		return brokenStep(err)
	}
	if k.r.Key != "" {
		r.Header.Set(keyHeader, k.r.Key)
	}
	k.out.Sent++
	resp, err := k.c.http.Do(r)
	if err != nil {
		return brokenStepIn(ctx, Error.Wrap(err))
	}
	if resp.StatusCode/100 != 2 {
		return step{kind: failed, failure: readFailure(resp)}
	}
	return k.readAnswer(resp)
}

// readAnswer reads the whole answer. The attempt is broken if reading fails.
func (k *callState) readAnswer(resp *http.Response) step {
	defer func() { _ = resp.Body.Close() }()
	text, err := readAll(resp.Body)
	if err != nil {
		return brokenStep(err)
	}
	k.out.Text = text
	k.out.Done = time.Now()
	k.out.First = k.out.Done
	return step{kind: whole}
}

// afterAttempt processes the end of an attempt. It returns how long to wait
// before the next one, or false if there is none.
func (k *callState) afterAttempt(ctx context.Context, s step) (time.Duration, bool) {
	switch {
	case s.kind == whole:
		k.out.End = Answered
		return 0, false
	case ctx.Err() != nil:
		k.finish(k.endByContext(ctx), s)
		return 0, false
	}
	k.c.recordFailure(k.cache, k.address, s, &k.out)
	if !shouldRetry(s) || k.out.Sent > k.c.o.MaxRetries {
		k.finish(endBeforeAcceptance(s), s)
		return 0, false
	}
	k.out.Ambiguous = k.out.Ambiguous || s.verdictOf() == verdict.MayHaveRun
	if s.kind == broken {
		return k.backoff.next(0), true
	}
	return k.backoff.next(s.failure.retryAfter), true
}

// endByContext returns the end of a call whose context ended: by the call's own
// timeout or, else, with the run.
func (k *callState) endByContext(ctx context.Context) End {
	if ctx.Err() == context.DeadlineExceeded {
		return Unreached
	}
	return Unfinished
}

func (k *callState) finish(end End, s step) {
	k.out.fail(end, s.verdictOf(), s.cause())
	if s.kind == failed {
		k.out.FromServer = s.failure.hasVerdict
		k.out.NoVerdict = !s.failure.hasVerdict
	}
}
