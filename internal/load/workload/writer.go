package workload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// Roles of messages.
const (
	roleSystem    = "system"
	roleUser      = "user"
	roleAssistant = "assistant"
)

// Turn is one question of a conversation with its answer.
type Turn struct {
	Question string
	Answer   string
}

// Writer generates the text of requests. It caches the prefixes of prompts, at
// most one for each workspace, kind and subject. Safe for concurrent use.
type Writer struct {
	mix        *Mix
	workspaces []Workspace
	seed       uint64
	system     string // the mix's instructions

	mu       sync.Mutex
	prefixes map[subjectKey]string // of prompts; see prefix
}

type subjectKey struct{ workspace, kind, subject int }

// NewWriter returns a writer for a plan's requests.
func NewWriter(p *Plan) *Writer {
	w := &Writer{mix: p.Mix, workspaces: p.Workspaces, seed: p.Seed, prefixes: make(map[subjectKey]string)}
	var b strings.Builder
	appendWords(&b, w.source(p.Mix.Name), p.Mix.SystemTokens)
	w.system = b.String()
	return w
}

// Question returns the text of an arrival's question.
func (w *Writer) Question(a *Arrival) string {
	k := &w.mix.Kinds[a.Kind]
	src := w.questionSource(a)
	n := k.QuestionTokens.draw(src)
	var b strings.Builder
	b.WriteString(k.Name + "-" + strconv.FormatUint(a.Seed, 36))
	appendWords(&b, src, n-1)
	return b.String()
}

// AnswerTokens returns the length of the answer to an arrival's question. It
// depends on the question alone, so answers to equal questions are equally long.
func (w *Writer) AnswerTokens(a *Arrival) int {
	src := w.questionSource(a)
	k := &w.mix.Kinds[a.Kind]
	k.QuestionTokens.draw(src)
	return k.AnswerTokens.draw(src)
}

// Messages returns an arrival's prompt: instructions, the subject's record,
// the earlier turns and the question.
func (w *Writer) Messages(a *Arrival, earlier []Turn, question string) []engineapi.Message {
	m := make([]engineapi.Message, 0, 2+2*len(earlier))
	m = append(m, engineapi.Message{Role: roleSystem, Content: w.prefix(a)})
	for _, t := range earlier {
		m = append(m,
			engineapi.Message{Role: roleUser, Content: t.Question},
			engineapi.Message{Role: roleAssistant, Content: t.Answer})
	}
	return append(m, engineapi.Message{Role: roleUser, Content: question})
}

// Part returns the part number of a call to a plain service.
func (w *Writer) Part(a *Arrival) string {
	parts := max(1, w.mix.Kinds[a.Kind].Call.Parts)
	return fmt.Sprintf("P-%05d", a.Seed%uint64(parts))
}

// prefix returns the start of the prompt, which all questions about one subject
// share: the instructions and the subject's record.
func (w *Writer) prefix(a *Arrival) string {
	if a.Subject < 0 {
		return w.system
	}
	key := subjectKey{workspace: a.Workspace, kind: a.Kind, subject: a.Subject}
	w.mu.Lock()
	defer w.mu.Unlock()
	prefix, ok := w.prefixes[key]
	if !ok {
		prefix = w.newPrefix(key)
		w.prefixes[key] = prefix
	}
	return prefix
}

// newPrefix generates the prefix of the prompts about one subject.
func (w *Writer) newPrefix(key subjectKey) string {
	k := &w.mix.Kinds[key.kind]
	name := fmt.Sprintf("%s/%s/%d", w.workspaces[key.workspace].Name, k.Name, key.subject)
	src := w.source(name)
	var b strings.Builder
	b.WriteString(w.system + " " + name)
	appendWords(&b, src, k.SubjectTokens.draw(src)-1)
	return b.String()
}

// questionSource returns a random source that is the same for equal questions of
// a kind.
func (w *Writer) questionSource(a *Arrival) *rand.Rand {
	return w.source(w.mix.Kinds[a.Kind].Name + "?" + strconv.FormatUint(a.Seed, 10))
}

// source returns a random source that depends on the plan's seed and the name.
func (w *Writer) source(name string) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, xxh3.HashString(name)))
}
