package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// jsonCall is a request to an engine with an answer in JSON.
type jsonCall struct {
	pool     *pool
	request  *sling.Sling
	out      any           // to decode the answer into; nil for none
	notFound error         // the error for status 404; nil for none
	timeout  time.Duration // 0 leaves it to the context
}

// newJSONCall returns a call to the engine at address.
func (e *Engines) newJSONCall(address string) *jsonCall {
	return &jsonCall{
		pool:    e.get(address),
		request: sling.New().Base(e.o.scheme() + "://" + address),
		timeout: e.o.CallTimeout,
	}
}

// do sends the call and decodes the answer. Its errors carry a verdict.
func (c *jsonCall) do(ctx context.Context) error {
	d := &callDoer{gen: c.pool.current(), watchdog: newWatchdog(ctx, c.timeout)}
	defer d.watchdog.stop()
	req, err := c.request.Doer(d).ResponseDecoder(wholeValue{}).Request()
	if err != nil {
		return verdict.Wrap(verdict.NotRun, Error.Wrap(err))
	}
	var refusal engineapi.Refusal
	resp, err := c.request.Do(req, c.out, &refusal)
	if resp != nil && resp.StatusCode >= http.StatusMultipleChoices {
		return refusalError(resp, refusal, c.notFound)
	}
	if err == nil && c.out != nil && (resp.ContentLength == 0 || resp.StatusCode == http.StatusNoContent) {
		err = errors.Join(ErrMalformed, errNoValue) // not decoded by sling
	}
	if err != nil {
		stall := &StallError{Address: c.pool.address, After: c.timeout}
		err = c.pool.wrapFailure(d.watchdog, d.gen, err, stall)
		return verdict.Wrap(d.attempt.verdict(), err)
	}
	return nil
}

var errNoValue = errors.New("answer without a value")

// wholeValue decodes answers that hold one JSON value and nothing else.
type wholeValue struct{}

// Decode implements sling.ResponseDecoder.
func (wholeValue) Decode(resp *http.Response, v any) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errors.Join(ErrMalformed, err)
	}
	return nil
}

// maxCallBody bounds the answer to a jsonCall, bytes. The longest are a page of
// cache events and the description of a KV blob with all its text.
const maxCallBody = 16 << 20

// callDoer sends the request of one jsonCall.
type callDoer struct {
	gen      *generation
	watchdog *watchdog
	attempt  attempt
}

// Do sends req and bounds the answer's body.
func (d *callDoer) Do(req *http.Request) (*http.Response, error) {
	resp, err := d.gen.transport.RoundTrip(req.WithContext(d.attempt.trace(d.watchdog.ctx)))
	if err != nil {
		return nil, err
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: maxCallBody}
	return resp, nil
}

var errBodyTooLong = errors.New("answer too long")

// boundedBody fails when a body is too long, instead of ending as if it were
// complete.
type boundedBody struct {
	io.ReadCloser
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errBodyTooLong
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}
