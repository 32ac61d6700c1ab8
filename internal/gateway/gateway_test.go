package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// fakeAnswer returns one of its parts with each Next.
type fakeAnswer struct{ parts []Part }

func (a *fakeAnswer) Next(context.Context, int) (Part, error) {
	p := a.parts[0]
	a.parts = a.parts[1:]
	return p, nil
}

func (a *fakeAnswer) Close()        {}
func (a *fakeAnswer) Model() string { return "m" }

// fakeBackend implements all interfaces that a Gateway needs.
type fakeBackend struct {
	parts    []Part
	notReady string
	refusing bool
	submits  int
}

func (f *fakeBackend) Submit(context.Context, *Submission) (Answer, *problem.Problem) {
	f.submits++
	return &fakeAnswer{parts: f.parts}, nil
}

func (f *fakeBackend) Find(context.Context, fleet.WorkspaceID, fleet.RequestID) (Answer, *problem.Problem) {
	return &fakeAnswer{parts: f.parts}, nil
}

func (f *fakeBackend) Cancel(context.Context, fleet.WorkspaceID, fleet.RequestID) *problem.Problem {
	return nil
}

func (f *fakeBackend) Call(context.Context, *ServiceCall) (*ServiceAnswer, *problem.Problem) {
	f.submits++
	return &ServiceAnswer{Status: http.StatusOK, Header: http.Header{}}, nil
}
func (f *fakeBackend) Entries(fleet.WorkspaceID) []Entry               { return nil }
func (f *fakeBackend) Identify(token string) (fleet.WorkspaceID, bool) { return "w", token == "good" }
func (f *fakeBackend) NonIdempotent(_, method, _ string) bool          { return method == http.MethodPost }
func (f *fakeBackend) NotReady() string                                { return f.notReady }
func (f *fakeBackend) Refusing() bool                                  { return f.refusing }
func (f *fakeBackend) Answered(string, int)                            {}
func (f *fakeBackend) FirstToken(time.Duration)                        {}
func (f *fakeBackend) BetweenTokens(time.Duration)                     {}

func newTestGateway(f *fakeBackend) *Gateway {
	limits := settings.Defaults().Limits
	limits.MaxBodyBytes = 4 << 10
	limits.MaxMessages = 3
	limits.MaxTokens = 100
	log := logrus.New()
	return New(Options{
		Requests: f, Services: f, Directory: f, Identities: f, Readiness: f, Observer: f,
		Metrics: func(http.ResponseWriter, *http.Request) {},
		Limits:  limits, EntriesAge: 10 * time.Second, Log: logrus.NewEntry(log),
	})
}

func call(g http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer good")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

const goodBody = `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`

// An invalid request must get a 4xx status and the verdict not-run, and must not
// reach the backend; with another verdict the caller could not safely send it again.
func TestInvalidRequestsAreRejectedWithVerdictNotRun(t *testing.T) {
	key := uuid.Must(uuid.NewV7()).String()
	old := uuid.NewString() // version 4
	future := "0fffffff-ffff-7fff-8fff-ffffffffffff"
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
		status                   int
	}{
		{"not JSON", "POST", "/v1/chat/completions", "{", nil, 400},
		{"not an object", "POST", "/v1/chat/completions", `[1]`, nil, 400},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":7}`, nil, 400},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[{"role":"user"}]}`, nil, 400},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, nil, 400},
		{"bad role", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"king"}]}`, nil, 400},
		{"no tokens", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user"}],"max_tokens":0}`, nil, 400},
		{"too many tokens", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user"}],"max_tokens":101}`, nil, 400},
		{"too many messages", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user"},{"role":"user"},{"role":"user"},{"role":"user"}]}`, nil, 400},
		{"deep nesting", "POST", "/v1/chat/completions", `{"messages":` + strings.Repeat("[", 1500) + `}`, nil, 400},
		{"too long", "POST", "/v1/chat/completions", strings.Repeat(" ", 5<<10), nil, 413},
		{"key is not a UUID", "POST", "/v1/chat/completions", goodBody, []string{"Idempotency-Key", "x"}, 400},
		{"key is version 4", "POST", "/v1/chat/completions", goodBody, []string{"Idempotency-Key", old}, 400},
		{"key from the future", "POST", "/v1/chat/completions", goodBody, []string{"Idempotency-Key", future}, 400},
		{"two keys", "POST", "/v1/chat/completions", goodBody, []string{"Idempotency-Key", key, "Idempotency-Key", key}, 400},
		{"non-idempotent call without a key", "POST", "/v1/services/parts/orders", `{}`, nil, 400},
		{"request id is not a UUID", "GET", "/v1/requests/x", "", nil, 400},
		{"last event id is not a count of tokens", "GET", "/v1/requests/" + key + "/events", "", []string{"Last-Event-ID", "-1"}, 400},
		{"unknown path", "GET", "/v2/anything", "", nil, 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeBackend{parts: []Part{{Done: true}}}
			w := call(newTestGateway(f), c.method, c.path, c.body, c.header...)
			assert.Equal(t, w.Code, c.status, w.Body.String())
			assert.Equal(t, w.Header().Get(verdict.Header), "not-run")
			assert.Equal(t, w.Header().Get("Content-Type"), problem.ContentType)
			assert.Equal(t, f.submits, 0)
		})
	}
}

// Requests without a valid token, before the daemon is ready and late in its
// shutdown must be refused. In the last case nothing was started, so that the
// caller may send the call, idempotent or not, to another entry.
func TestRequestsAreRefusedWithoutTokenWhenNotReadyAndWhenStopping(t *testing.T) {
	f := &fakeBackend{}
	g := newTestGateway(f)
	r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(goodBody))
	r.Header.Set("Authorization", "Bearer bad")
	rec := httptest.NewRecorder()
	g.ServeHTTP(rec, r)
	assert.Equal(t, rec.Code, http.StatusUnauthorized)

	f.notReady = "templates"
	assert.Equal(t, call(g, "POST", "/v1/chat/completions", goodBody).Code, http.StatusServiceUnavailable)
	f.notReady, f.refusing = "", true
	w := call(g, "POST", "/v1/services/parts/orders", "{}", "Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(verdict.Header), "not-run")
	assert.Assert(t, w.Header().Get("Retry-After") != "")
}

// A caller resumes a stream by the id of the last event that it received. An
// event without an id, or an id that comes twice, would lose or repeat tokens.
func TestEveryStreamEventHasAUniqueID(t *testing.T) {
	f := &fakeBackend{parts: []Part{
		{Tokens: []string{"a", "\"b\n"}},
		{Tokens: []string{"c"}, Done: true, Usage: engineapi.Usage{PromptTokens: 1, CompletionTokens: 3}},
	}}
	body := `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`
	text := call(newTestGateway(f), "POST", "/v1/chat/completions", body).Body.String()
	var ids []string
	var answer strings.Builder
	for _, event := range strings.Split(strings.TrimSpace(text), "\n\n") {
		lines := strings.Split(event, "\n")
		assert.Assert(t, strings.HasPrefix(lines[0], "id: "), event)
		ids = append(ids, lines[0])
		data := strings.TrimPrefix(lines[len(lines)-1], "data: ")
		if data == "[DONE]" {
			continue
		}
		var c chunk
		assert.NilError(t, json.Unmarshal([]byte(data), &c))
		answer.WriteString(c.Choices[0].Delta.Content)
	}
	assert.DeepEqual(t, ids, []string{"id: 0", "id: 1", "id: 2", "id: 3", "id: 4", "id: 5"})
	assert.Equal(t, answer.String(), "a\"b\nc")
}

// A daemon hands a request over to another one while a caller reads its answer.
// A caller that streams must receive the new address in a moved event, one that
// waits for the whole answer in a redirect; otherwise neither could go on.
func TestMovedRequestRedirectsStreamingAndWaitingCallers(t *testing.T) {
	f := &fakeBackend{parts: []Part{{Tokens: []string{"a"}}, {MovedTo: "127.0.0.1:7"}}}
	w := call(newTestGateway(f), "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user"}],"stream":true}`)
	assert.Assert(t, strings.Contains(w.Body.String(), "id: 1\nevent: moved\n"), w.Body.String())
	assert.Assert(t, strings.Contains(w.Body.String(), `"address":"127.0.0.1:7"`))

	f.parts = []Part{{Tokens: []string{"a"}}, {MovedTo: "127.0.0.1:7"}}
	w = call(newTestGateway(f), "POST", "/v1/chat/completions", goodBody)
	assert.Equal(t, w.Code, http.StatusSeeOther)
	assert.Assert(t, strings.HasPrefix(w.Header().Get("Location"), "http://127.0.0.1:7/v1/requests/"))
}
