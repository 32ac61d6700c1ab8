package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
)

// Client sends the requests of several workspaces' callers. Safe for
// concurrent use.
type Client struct {
	o      Options
	http   *http.Client
	tokens []string        // credential by workspace
	caches [][]*entryCache // by workspace and caller
}

// New returns a client for workspaces whose credentials are tokens, by index.
func New(o Options, tokens []string) *Client {
	o = o.withDefaults()
	c := &Client{o: o, tokens: tokens, http: &http.Client{
		Transport: answerhead.NewTransport(o.Transport),
		// http.Client would drop the credential on a redirect to another
		// address, and the redirect would not be counted.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for workspace := range tokens {
		c.caches = append(c.caches, c.newCaches(workspace))
	}
	return c
}

func (c *Client) newCaches(workspace int) []*entryCache {
	caches := make([]*entryCache, c.o.Callers)
	for i := range caches {
		caches[i] = &entryCache{
			seeds: c.o.Seeds,
			fetch: func(ctx context.Context, address string) ([]string, time.Duration, error) {
				return c.fetchEntries(ctx, address, workspace)
			},
		}
		if c.o.Choice == Spread {
			caches[i].offset = i
		}
	}
	return caches
}

// Close closes connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// cache returns the entry cache of one of a workspace's callers, chosen by seed.
func (c *Client) cache(workspace int, seed uint64) *entryCache {
	caches := c.caches[workspace]
	return caches[seed%uint64(len(caches))]
}

// recordFailure records a failed attempt. An entry that closed the connection or
// answered 503 is avoided until the list of entries is refreshed. After a
// progress timeout, other connections opened along with the unresponsive one are
// likely to be dead as well; closing the idle ones saves later requests the same
// wait.
func (c *Client) recordFailure(cache *entryCache, address string, s step, o *Outcome) {
	o.Reasons = append(o.Reasons, s.reason())
	if s.kind == broken || s.failure.status == http.StatusServiceUnavailable {
		cache.markFailed(address)
	}
	if errors.Is(s.err, errNoProgress) {
		c.http.CloseIdleConnections()
	}
}

// request returns a request with the workspace's credential.
func (c *Client) request(ctx context.Context, method, address, path string, workspace int, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.o.Scheme+"://"+address+path, reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Without GetBody the transport can't retry a request by itself, as it would
	// for one with an idempotency key when a reused connection fails. Such a
	// retry would be missing from the count.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.tokens[workspace])
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// maxDrain bounds how much of an unused answer is read, in bytes.
const maxDrain = 64 << 10

// drain reads and closes the body, so that the connection can be reused.
func drain(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrain)
	_ = resp.Body.Close()
}

// maxAnswer is the length at which a plain service's answer is truncated, in
// bytes.
const maxAnswer = 1 << 20

func readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswer))
	return body, Error.Wrap(err)
}
