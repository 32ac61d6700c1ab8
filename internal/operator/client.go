package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// clientTimeout bounds a call. It leaves time for the daemon to read the object
// back after a write whose outcome is ambiguous, before it answers a change.
const clientTimeout = 30 * time.Second

// maxResponseBytes bounds the body of a response that the client reads.
const maxResponseBytes = 64 << 20

// Client calls the operators' API of a daemon.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient returns a client of the API at baseURL that authenticates with an
// operator's token.
func NewClient(baseURL, token string, transport http.RoundTripper) *Client {
	return &Client{
		base: sling.New().Base(baseURL).Set("Authorization", "Bearer "+token),
		http: &http.Client{Timeout: clientTimeout, Transport: answerhead.NewTransport(transport)},
	}
}

// Templates lists the templates.
func (c *Client) Templates(ctx context.Context) ([]TemplateInfo, error) {
	return get[[]TemplateInfo](ctx, c, TemplatesPath)
}

// Template returns a template.
func (c *Client) Template(ctx context.Context, name string) (TemplateView, error) {
	return get[TemplateView](ctx, c, TemplatePath+url.PathEscape(name))
}

// History returns a template's audit trail, oldest entry first.
func (c *Client) History(ctx context.Context, name string) ([]AuditEntry, error) {
	return get[[]AuditEntry](ctx, c, TemplatePath+url.PathEscape(name)+"/history")
}

// TemplateStatus reports which daemons have a template's stored version in force.
func (c *Client) TemplateStatus(ctx context.Context, name string) (TemplateStatus, error) {
	return get[TemplateStatus](ctx, c, TemplatePath+url.PathEscape(name)+"/status")
}

// Workspaces lists the workspaces with their states.
func (c *Client) Workspaces(ctx context.Context) ([]WorkspaceStatus, error) {
	return get[[]WorkspaceStatus](ctx, c, WorkspacesPath)
}

// Endpoints lists the endpoints.
func (c *Client) Endpoints(ctx context.Context) ([]EndpointStatus, error) {
	return get[[]EndpointStatus](ctx, c, EndpointsPath)
}

// Entries lists the daemons.
func (c *Client) Entries(ctx context.Context) ([]EntryStatus, error) {
	return get[[]EntryStatus](ctx, c, EntriesPath)
}

// Audit returns every trail's entries, oldest first.
func (c *Client) Audit(ctx context.Context) ([]AuditEntry, error) {
	return get[[]AuditEntry](ctx, c, AuditPath)
}

// Apply creates or amends a template.
func (c *Client) Apply(ctx context.Context, name string, a Apply) (ChangeResult, error) {
	return c.change(ctx, c.base.New().Put(TemplatePath+url.PathEscape(name)).BodyJSON(a))
}

// Delete deletes a template.
func (c *Client) Delete(ctx context.Context, name string, a Apply) (ChangeResult, error) {
	return c.change(ctx, c.base.New().Delete(TemplatePath+url.PathEscape(name)).BodyJSON(a))
}

// Drain starts or ends the draining of an endpoint.
func (c *Client) Drain(ctx context.Context, id string, d Drain) (ChangeResult, error) {
	return c.change(ctx, c.base.New().Post(EndpointPath+url.PathEscape(id)+"/drain").BodyJSON(d))
}

// change sends a change. If the response is lost or can't be decoded, the outcome
// is unknown; a repetition with the same Operation returns it.
func (c *Client) change(ctx context.Context, s *sling.Sling) (ChangeResult, error) {
	status, body, err := c.do(ctx, s)
	if err != nil {
		return ChangeResult{Outcome: template.Unknown, Reason: err.Error()}, nil
	}
	if status == http.StatusUnauthorized || status == http.StatusBadRequest || status == http.StatusNotFound {
		return ChangeResult{}, problemError(status, body)
	}
	var r ChangeResult
	if json.Unmarshal(body, &r) != nil || r.Outcome == "" {
		return ChangeResult{Outcome: template.Unknown, Reason: http.StatusText(status)}, nil
	}
	return r, nil
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var v T
	status, body, err := c.do(ctx, c.base.New().Get(path))
	if err != nil {
		return v, Error.Wrap(err)
	}
	if status != http.StatusOK {
		return v, problemError(status, body)
	}
	return v, Error.Wrap(json.Unmarshal(body, &v))
}

func (c *Client) do(ctx context.Context, s *sling.Sling) (int, []byte, error) {
	req, err := s.Request()
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, errors.Join(err, resp.Body.Close())
}

// problemError returns the problem in a response's body as an error.
func problemError(status int, body []byte) error {
	var p problem.Problem
	if json.Unmarshal(body, &p) != nil || p.Detail == "" {
		return Error.New("%d %s", status, http.StatusText(status))
	}
	return Error.New("%s", p.Detail)
}
