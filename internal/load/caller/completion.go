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
	f := newFollower(c, r)
	for {
		s := f.attempt(ctx)
		wait, again := f.settle(ctx, s)
		if !again || !f.pause(ctx, wait) {
			return &f.out
		}
	}
}

// follower is the state of one completion across its attempts.
type follower struct {
	c       *Client
	r       *Completion
	cache   *entryCache
	backoff backoff
	reader  tokenReader
	out     Outcome
	next    string // address to resume at after a move, empty for any
	address string // of the last attempt
}

func newFollower(c *Client, r *Completion) *follower {
	f := &follower{c: c, r: r, cache: c.cache(r.Workspace, r.Seed), backoff: newBackoff(r.Seed)}
	f.reader.out = &f.out
	return f
}

// attempt sends the request or, once it was accepted, resumes its stream.
func (f *follower) attempt(ctx context.Context) step {
	f.address = f.pick(ctx)
	if f.address == "" {
		return breakOff(Error.New("no entry address is known"))
	}
	ctx, silence := newWatch(ctx, f.c.o.ProgressTimeout)
	defer silence.stop()
	resp, err := f.send(ctx)
	if err != nil {
		return breakSilent(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return step{kind: failed, failure: readFailure(resp)}
	}
	defer func() { _ = resp.Body.Close() }()
	f.out.Accepted = true
	s := f.reader.read(resp.Body, silence.extend)
	if s.kind == broken {
		return breakSilent(ctx, s.err)
	}
	return s
}

// pick returns the address that the last step named, or else an entry other than
// that of the last attempt.
func (f *follower) pick(ctx context.Context) string {
	if next := f.next; next != "" {
		f.next = ""
		return next
	}
	return f.cache.pick(ctx, f.address)
}

func (f *follower) send(ctx context.Context) (*http.Response, error) {
	r, err := f.build(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := f.c.http.Do(r)
	return resp, Error.Wrap(err)
}

// build returns the request to send, or to resume its stream after the tokens
// received so far.
func (f *follower) build(ctx context.Context) (*http.Request, error) {
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

// settle processes the end of an attempt. It returns how long to wait before the
// next one, or false if there is none.
func (f *follower) settle(ctx context.Context, s step) (time.Duration, bool) {
	switch {
	case s.kind == whole:
		f.out.End = Answered
		return 0, false
	case ctx.Err() != nil:
		f.finish(f.cutOff(ctx), s)
		return 0, false
	case s.kind == moved:
		return f.settleMoved(s)
	}
	f.c.failed(f.cache, f.address, s, &f.out)
	if f.out.Accepted {
		return f.settleAccepted(s)
	}
	return f.settleNew(s)
}

func (f *follower) settleMoved(s step) (time.Duration, bool) {
	f.out.Moves++
	if f.out.Moves > f.c.o.MaxResumes {
		f.finish(Lost, step{kind: broken, err: Error.New("moved %d times", f.out.Moves)})
		return 0, false
	}
	f.next = s.address
	return 0, true
}

// settleAccepted resumes the stream unless a verdict ended the request or
// MaxResumes is reached.
func (f *follower) settleAccepted(s step) (time.Duration, bool) {
	if s.kind == failed && !elsewhere(s.failure.status) {
		f.finish(Failed, s)
		return 0, false
	}
	if f.out.Resumes >= f.c.o.MaxResumes {
		f.finish(Lost, s)
		return 0, false
	}
	f.out.Resumes++
	return f.before(s), true
}

// settleNew retries a request that was not accepted, unless the failure is final
// or MaxRetries is reached.
func (f *follower) settleNew(s step) (time.Duration, bool) {
	if !again(s) || f.out.Sent > f.c.o.MaxRetries {
		f.finish(refusedOr(s), s)
		return 0, false
	}
	f.out.Ambiguous = f.out.Ambiguous || s.verdictOf() == verdict.MayHaveRun
	return f.before(s), true
}

// before returns the wait before the next attempt.
func (f *follower) before(s step) time.Duration {
	if s.kind == broken {
		return f.backoff.next(0)
	}
	return f.backoff.next(s.failure.retryAfter)
}

func (f *follower) finish(end End, s step) {
	f.out.fail(end, s.verdictOf(), s.cause())
	if s.kind == failed {
		f.out.FromServer = s.failure.hasVerdict
		f.out.NoVerdict = !s.failure.hasVerdict
	}
}

// cutOff returns the end of a request whose context ended: by the request's own
// timeout or, else, with the run.
func (f *follower) cutOff(ctx context.Context) End {
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
func (f *follower) pause(ctx context.Context, d time.Duration) bool {
	if d == 0 || pause.For(ctx, d) {
		return true
	}
	f.finish(f.cutOff(ctx), breakOff(ctx.Err()))
	return false
}
