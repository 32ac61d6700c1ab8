package outside

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
	"github.com/dghubble/sling"
)

// operation describes a call before it is made.
type operation struct {
	kind    budget.Kind
	class   budget.Class
	op      string
	object  string        // kind of object, for metrics
	write   bool          // it may have an effect
	refuses bool          // a 503 states that there was no effect
	timeout time.Duration // from leaving the budget to the last byte of the answer
	limit   int64         // bytes of the answer
}

// answer is a read answer with any status.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// caller makes the calls to one API.
type caller struct {
	base     *sling.Sling
	client   *http.Client
	gate     *gate
	observer Observer
	silence  silence
}

func newCaller(url string, client *http.Client, g *gate, observer Observer) *caller {
	return &caller{base: sling.New().Base(url), client: client, gate: g, observer: observer}
}

// do waits for the budget, makes the call and reports its end to budget and observer. The
// error is one of this package's types for any answer but a 2xx.
func (c *caller) do(ctx context.Context, o operation, req *http.Request) (answer, error) {
	asked := time.Now()
	err := c.gate.admit(ctx, o.class, o.kind)
	left := time.Now()
	var a answer
	if err == nil {
		a, err = c.exchange(ctx, o, req)
		c.gate.report(o.kind, outcomeOf(ctx, err, time.Since(left)))
	}
	c.observer.Called(Call{
		Kind:   o.kind,
		Class:  o.class,
		Op:     o.op,
		Object: o.object,
		Result: resultOf(err),
		Wait:   left.Sub(asked),
		Took:   time.Since(left),
	})
	return a, err
}

// exchange sends the request once and reads the whole answer.
func (c *caller) exchange(ctx context.Context, o operation, req *http.Request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	a, err := c.roundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)), o.limit)
	if err == nil {
		return a, classify(o, a)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.onTimeout()
	}
	if o.write && connected.Load() {
		return a, ambiguous(err)
	}
	return a, &Unavailable{Err: Error.Wrap(err)}
}

func (c *caller) roundTrip(req *http.Request, limit int64) (answer, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := jsonio.ReadAll(resp.Body, limit)
	if err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// onTimeout closes the other connections that may have become silent.
//
// A middlebox may lose track of open connections, which stay open and silent while new ones
// work. Each call would try one of them and time out. Closing the idle ones makes the next call
// connect anew; waiting watches are notified, since they would detect it last.
func (c *caller) onTimeout() {
	c.client.CloseIdleConnections()
	c.silence.suspect(time.Now())
}

func ambiguous(err error) error {
	return verdict.Wrap(verdict.MayHaveRun, &Ambiguous{Err: Error.Wrap(err)})
}
