package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// defaultMaxTokens applies if the caller sets no max_tokens.
const defaultMaxTokens = 256

// maxKeySkew is how far in the future the time of an Idempotency-Key may be.
const maxKeySkew = 5 * time.Minute

// completionBody is a completion request in the format of the OpenAI API, with
// adapter and version added. Other fields, such as sampling parameters, are
// ignored, since no endpoint supports them.
type completionBody struct {
	Model               string              `json:"model"`
	Adapter             string              `json:"adapter"`
	Version             string              `json:"version"`
	Messages            []engineapi.Message `json:"messages"`
	MaxTokens           *int                `json:"max_tokens"`
	MaxCompletionTokens *int                `json:"max_completion_tokens"`
	Stream              bool                `json:"stream"`
}

// readBody reads a body of at most Limits.MaxBodyBytes. A body that is too long,
// too slow or incomplete is the caller's fault; the verdict is NotRun.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.opts.Limits.MaxBodyBytes))
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLong):
		return nil, problem.New(http.StatusRequestEntityTooLarge, verdict.NotRun, "the body is over %d bytes", tooLong.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, problem.New(http.StatusRequestTimeout, verdict.NotRun, "the body took longer than %s", g.opts.Limits.ReadTimeout)
	default:
		return nil, problem.New(http.StatusBadRequest, verdict.NotRun, "the body could not be read")
	}
}

// decodeCompletion decodes and validates a completion request.
func (g *Gateway) decodeCompletion(body []byte) (*completionBody, *problem.Problem) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badRequest("the body is not a completion request: %s", jsonErrorText(err))
	}
	if b.Model == "" {
		return nil, badRequest("model is required")
	}
	if len(b.Messages) == 0 {
		return nil, badRequest("messages must hold at least one message")
	}
	if len(b.Messages) > g.opts.Limits.MaxMessages {
		return nil, badRequest("messages holds %d; the most is %d", len(b.Messages), g.opts.Limits.MaxMessages)
	}
	for i, m := range b.Messages {
		if !validRole(m.Role) {
			return nil, badRequest("messages[%d].role %q is none of system, user, assistant, tool", i, m.Role)
		}
	}
	return &b, g.checkMaxTokens(&b)
}

// checkMaxTokens takes the bound from max_tokens or else max_completion_tokens,
// applies the default and checks the range.
func (g *Gateway) checkMaxTokens(b *completionBody) *problem.Problem {
	if b.MaxTokens == nil {
		b.MaxTokens = b.MaxCompletionTokens
	}
	if b.MaxTokens == nil {
		n := min(defaultMaxTokens, g.opts.Limits.MaxTokens)
		b.MaxTokens = &n
	}
	if n := *b.MaxTokens; n < 1 || n > g.opts.Limits.MaxTokens {
		return badRequest("max_tokens is %d; it must be from 1 to %d", n, g.opts.Limits.MaxTokens)
	}
	return nil
}

func (b *completionBody) engineRequest() engineapi.CompletionRequest {
	return engineapi.CompletionRequest{
		Model:     b.Model,
		Adapter:   b.Adapter,
		Version:   b.Version,
		Messages:  b.Messages,
		MaxTokens: *b.MaxTokens,
	}
}

func validRole(role string) bool {
	switch role {
	case "system", "user", "assistant", "tool", "developer":
		return true
	default:
		return false
	}
}

// jsonErrorText describes a decoding error without quoting the body, which may
// hold private data.
func jsonErrorText(err error) string {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return "it is not valid JSON"
	case errors.As(err, &typeErr):
		return "field " + typeErr.Field + " must be " + typeErr.Type.String()
	default:
		return "it can't be decoded"
	}
}

// idempotencyKey returns the caller's key, empty if none was sent. A key must be
// a UUIDv7: its timestamp allows old keys to be refused, which bounds the ledger.
func idempotencyKey(r *http.Request, now time.Time) (fleet.RequestID, *problem.Problem) {
	values := r.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", badRequest("Idempotency-Key was sent more than once")
	}
	id, err := uuid.Parse(values[0])
	if err != nil || id.Version() != 7 {
		return "", badRequest("Idempotency-Key must be a UUIDv7")
	}
	sec, nsec := id.Time().UnixTime()
	if time.Unix(sec, nsec).After(now.Add(maxKeySkew)) {
		return "", badRequest("Idempotency-Key lies in the future")
	}
	return fleet.RequestID(id.String()), nil
}

func badRequest(format string, args ...any) *problem.Problem {
	return problem.New(http.StatusBadRequest, verdict.NotRun, format, args...)
}
