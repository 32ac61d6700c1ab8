package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Completion is a request to a model whose answer is streamed.
type Completion struct {
	Workspace int    // index of its credential
	Seed      uint64 // picks the caller and the jitter of its retries
	Key       string // idempotency key, a UUIDv7; also the request's id
	Body      []byte // JSON
}

// Complete sends a completion and reads its stream to the end. Retries keep the
// key, so that one whose acceptance was not received attaches to the running
// request.
func (c *Client) Complete(ctx context.Context, r *Completion) *Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.o.RequestTimeout)
	defer cancel()
	f := newCompletionState(c, r)
	for {
		s := f.attempt(ctx)
		wait, more := f.afterAttempt(ctx, s)
		if !more || !f.pause(ctx, wait) {
			return &f.out
		}
	}
}

// completionState is the state of one completion across its attempts.
type completionState struct {
	c        *Client
	r        *Completion
	cache    *entryCache
	backoff  backoff
	reader   tokenReader
	out      Outcome
	resumeAt string // address to resume at after a move, empty for any
	address  string // of the last attempt
}

func newCompletionState(c *Client, r *Completion) *completionState {
	f := &completionState{c: c, r: r, cache: c.cache(r.Workspace, r.Seed), backoff: newBackoff(r.Seed)}
	f.reader.out = &f.out
	return f
}

// attempt sends the request or, once it was accepted, resumes its stream.
func (f *completionState) attempt(ctx context.Context) step {
	f.address = f.pick(ctx)
	if f.address == "" {
		return brokenStep(Error.New("no entry address is known"))
	}
	ctx, progress := newProgressTimer(ctx, f.c.o.ProgressTimeout)
	defer progress.stop()
	resp, err := f.send(ctx)
	if err != nil {
		return brokenStepIn(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return step{kind: failed, failure: readFailure(resp)}
	}
	defer func() { _ = resp.Body.Close() }()
	f.out.Accepted = true
	s := f.reader.read(resp.Body, progress.extend)
	if s.kind == broken {
		return brokenStepIn(ctx, s.err)
	}
	return s
}

// pick returns the address that the last step named, or else an entry other than
// that of the last attempt.
func (f *completionState) pick(ctx context.Context) string {
	if next := f.resumeAt; next != "" {
		f.resumeAt = ""
		return next
	}
	return f.cache.pick(ctx, f.address)
}

func (f *completionState) send(ctx context.Context) (*http.Response, error) {
	r, err := f.build(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := f.c.http.Do(r)
	return resp, Error.Wrap(err)
}

// build returns the request to send, or to resume its stream after the tokens
// received so far.
func (f *completionState) build(ctx context.Context) (*http.Request, error) {
	if f.out.Accepted {
		path := RequestsPath + f.r.Key + EventsSuffix
		r, err := f.c.request(ctx, http.MethodGet, f.address, path, f.r.Workspace, nil)
		if err != nil {
			return nil, err
		}
		r.Header.Set(lastEventHeader, strconv.Itoa(f.out.Tokens))
		return r, nil
	}
	f.out.Sent++
	r, err := f.c.request(ctx, http.MethodPost, f.address, CompletionsPath, f.r.Workspace, f.r.Body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(keyHeader, f.r.Key)
	return r, nil
}

// afterAttempt processes the end of an attempt. It returns how long to wait
// before the next one, or false if there is none.
func (f *completionState) afterAttempt(ctx context.Context, s step) (time.Duration, bool) {
	switch {
	case s.kind == whole:
		f.out.End = Answered
		return 0, false
	case ctx.Err() != nil:
		f.finish(f.endByContext(ctx), s)
		return 0, false
	case s.kind == moved:
		return f.afterMove(s)
	}
	f.c.recordFailure(f.cache, f.address, s, &f.out)
	if f.out.Accepted {
		return f.resumeOrEnd(s)
	}
	return f.retryOrEnd(s)
}

// afterMove resumes the stream at another entry unless it moved too often.
func (f *completionState) afterMove(s step) (time.Duration, bool) {
	f.out.Moves++
	if f.out.Moves > f.c.o.MaxResumes {
		f.finish(Lost, step{kind: broken, err: Error.New("moved %d times", f.out.Moves)})
		return 0, false
	}
	f.resumeAt = s.address
	return 0, true
}

// resumeOrEnd resumes the stream unless a verdict ended the request or
// MaxResumes is reached.
func (f *completionState) resumeOrEnd(s step) (time.Duration, bool) {
	if s.kind == failed && !retryElsewhere(s.failure.status) {
		f.finish(Failed, s)
		return 0, false
	}
	if f.out.Resumes >= f.c.o.MaxResumes {
		f.finish(Lost, s)
		return 0, false
	}
	f.out.Resumes++
	return f.waitBefore(s), true
}

// retryOrEnd retries a request that was not accepted, unless the failure is final
// or MaxRetries is reached.
func (f *completionState) retryOrEnd(s step) (time.Duration, bool) {
	if !shouldRetry(s) || f.out.Sent > f.c.o.MaxRetries {
		f.finish(endBeforeAcceptance(s), s)
		return 0, false
	}
	f.out.Ambiguous = f.out.Ambiguous || s.verdictOf() == verdict.MayHaveRun
	return f.waitBefore(s), true
}

// waitBefore returns the wait before the next attempt.
func (f *completionState) waitBefore(s step) time.Duration {
	if s.kind == broken {
		return f.backoff.next(0)
	}
	return f.backoff.next(s.failure.retryAfter)
}

func (f *completionState) finish(end End, s step) {
	f.out.fail(end, s.verdictOf(), s.cause())
	if s.kind == failed {
		f.out.FromServer = s.failure.hasVerdict
		f.out.NoVerdict = !s.failure.hasVerdict
	}
}

// endByContext returns the end of a request whose context ended: by the request's
// own timeout or, else, with the run.
func (f *completionState) endByContext(ctx context.Context) End {
	switch {
	case ctx.Err() != context.DeadlineExceeded:
		return Unfinished
	case f.out.Accepted:
		return Lost
	default:
		return Unreached
	}
}

// pause waits before the next attempt. It returns false if ctx ended first, and
// then the request has ended.
func (f *completionState) pause(ctx context.Context, d time.Duration) bool {
	if d == 0 || pause.For(ctx, d) {
		return true
	}
	f.finish(f.endByContext(ctx), brokenStep(ctx.Err()))
	return false
}
