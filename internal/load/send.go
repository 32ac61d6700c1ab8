package load

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// completionBody is the body of a request to a model.
type completionBody struct {
	Model     string              `json:"model"`
	Adapter   string              `json:"adapter,omitempty"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
}

// send sends one request and records its outcome.
func (r *run) send(a *workload.Arrival) {
	intended := r.start.Add(a.At)
	r.recorder.sent(time.Since(intended))
	if r.plan.Mix.Kinds[a.Kind].Call != nil {
		r.sendCall(a, intended)
		return
	}
	r.sendCompletion(a, intended)
}

func (r *run) sendCompletion(a *workload.Arrival, intended time.Time) {
	earlier := r.conversations.earlier(a)
	question := r.writer.Question(a)
	tokens := r.writer.AnswerTokens(a)
	body := r.body(r.writer.Messages(a, earlier, question), tokens)
	out := r.client.Complete(r.requestsCtx, &caller.Completion{
		Workspace: a.Workspace, Seed: a.Seed, Key: newKey(), Body: body,
	})
	if out.End == caller.Answered {
		r.conversations.answer(a, earlier, workload.Turn{Question: question, Answer: string(out.Text)})
	}
	r.recorder.completion(a, intended, out, checkAnswer(r.o.Answers, body, tokens, out))
}

func (r *run) body(messages []engineapi.Message, tokens int) []byte {
	body, err := json.Marshal(completionBody{
		Model: r.plan.Mix.Model, Adapter: r.plan.Mix.Adapter,
		Messages: messages, MaxTokens: tokens, Stream: true,
	})
	if err != nil {
		panic(err) // strings, numbers and booleans can always be encoded
	}
	return body
}

func (r *run) sendCall(a *workload.Arrival, intended time.Time) {
	spec := r.plan.Mix.Kinds[a.Kind].Call
	part := r.writer.Part(a)
	call := &caller.Call{
		Workspace: a.Workspace, Seed: a.Seed, Service: spec.Service, Method: spec.Method,
		Path: strings.ReplaceAll(spec.Path, partPlaceholder, part),
	}
	if spec.Body != "" {
		call.Body = []byte(strings.ReplaceAll(spec.Body, partPlaceholder, part))
	}
	if spec.NonIdempotent {
		call.Key = newKey()
	}
	r.recorder.call(a, intended, call.Key, r.client.Call(r.requestsCtx, call))
}

// partPlaceholder is replaced by a part number in calls of plain services.
const partPlaceholder = "{part}"

// newKey returns an idempotency key. Keys are UUIDv7, which contain the time, and
// so they are not a function of the seed.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
