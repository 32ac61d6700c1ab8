package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/prompt"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine/enginefault"
)

var (
	model    = fleet.ModelRef{Model: "m"}
	question = []engineapi.Message{{Role: "user", Content: strings.Repeat("why ", 63)}} // 64 tokens
)

// exact makes times easy to compute: 64 tokens of prompt take 64 ms.
func exact() Options {
	return Options{
		Models:           []fleet.ModelRef{model},
		TokenInterval:    100 * time.Millisecond,
		PrefillPerSecond: 1000,
		KVBytesPerToken:  1000,
		LinkBytes:        1_000_000,
	}
}

// in runs a test with an engine on a clock of its own.
func in(t *testing.T, o Options, f func(t *testing.T, e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		e := New(o)
		defer e.Close()
		f(t, e)
	})
}

func ask(ctx context.Context, e *Engine, method, path string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	r := httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(data))
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	return w
}

func complete(ctx context.Context, e *Engine, req engineapi.CompletionRequest) *httptest.ResponseRecorder {
	req.Model = model.Model
	if req.Messages == nil {
		req.Messages = question
	}
	return ask(ctx, e, http.MethodPost, engineapi.CompletionsPath, req)
}

// pieces returns the text of an answer and its last piece, nil if it is missing.
func pieces(t *testing.T, w *httptest.ResponseRecorder) (text []string, last *engineapi.Piece) {
	for line := range strings.Lines(w.Body.String()) {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var p engineapi.Piece
		assert.NilError(t, json.Unmarshal([]byte(data), &p))
		if p.Done {
			return text, &p
		}
		text = append(text, p.Text)
	}
	return text, nil
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestAnswerDependsOnThePromptAlone(t *testing.T) {
	in(t, exact(), func(t *testing.T, e *Engine) {
		began := time.Now()
		w := complete(t.Context(), e, engineapi.CompletionRequest{MaxTokens: 10})
		text, last := pieces(t, w)
		assert.DeepEqual(t, text, Text(question, 10))
		assert.DeepEqual(t, *last.Usage, engineapi.Usage{PromptTokens: 64, CompletionTokens: 10})
		assert.Equal(t, time.Since(began), 64*time.Millisecond+10*102*time.Millisecond)
		assert.Assert(t, Text(question, 1)[0] != "" && Text(question, 2)[1][0] == ' ')
	})
}

// Guards against a stream that ends with its caller's connection.
func TestStreamOutlivesItsConnection(t *testing.T) {
	o := exact()
	o.Linger = time.Second
	in(t, o, func(t *testing.T, e *Engine) {
		w := complete(within(t, 500*time.Millisecond), e, engineapi.CompletionRequest{MaxTokens: 12})
		id := w.Header().Get(engineapi.StreamIDHeader)
		head, last := pieces(t, w)
		assert.Equal(t, len(head), 4)
		assert.Assert(t, last == nil)
		rest, last := pieces(t, ask(t.Context(), e, http.MethodGet, engineapi.StreamPath+id+"?from=4", nil))
		assert.DeepEqual(t, append(head, rest...), Text(question, 12))
		assert.Equal(t, last.Offset, 12)
		time.Sleep(2 * time.Second)
		assert.Equal(t, ask(t.Context(), e, http.MethodGet, engineapi.StreamPath+id+"?from=4", nil).Code, http.StatusNotFound)

		w = complete(within(t, 500*time.Millisecond), e, engineapi.CompletionRequest{MaxTokens: 1000})
		id = w.Header().Get(engineapi.StreamIDHeader)
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, ask(t.Context(), e, http.MethodGet, engineapi.StreamPath+id+"?from=4", nil).Code, http.StatusNotFound)
		assert.Equal(t, e.running, 0)
	})
}

func TestQueueByPriorityThenArrival(t *testing.T) {
	o := exact()
	o.Slots = 1
	in(t, o, func(t *testing.T, e *Engine) {
		var order []int
		finished := make(chan int)
		for i, priority := range []string{"0", "1", "1", "9"} {
			go func() {
				body, _ := json.Marshal(engineapi.CompletionRequest{Model: "m", Messages: question, MaxTokens: 2})
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, engineapi.CompletionsPath, bytes.NewReader(body))
				r.Header.Set(engineapi.PriorityHeader, priority)
				e.Handler().ServeHTTP(httptest.NewRecorder(), r)
				finished <- i
			}()
			synctest.Wait()
		}
		for range 4 {
			order = append(order, <-finished)
		}
		assert.DeepEqual(t, order, []int{0, 3, 1, 2})
	})
}

func TestCancelFreesTheSlotAtOnce(t *testing.T) {
	o := exact()
	o.Slots = 1
	in(t, o, func(t *testing.T, e *Engine) {
		w := complete(within(t, time.Second), e, engineapi.CompletionRequest{MaxTokens: 1000})
		id := w.Header().Get(engineapi.StreamIDHeader)
		assert.Equal(t, ask(t.Context(), e, http.MethodDelete, engineapi.StreamPath+id, nil).Code, http.StatusNoContent)
		began := time.Now()
		complete(t.Context(), e, engineapi.CompletionRequest{MaxTokens: 1})
		assert.Equal(t, time.Since(began), 102*time.Millisecond) // the prompt is cached
	})
}

func TestRecomputedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := exact()
		o.Registry = NewRegistry(0)
		engines := [4]*Engine{New(o), New(o), New(o), New(o)}
		for _, e := range engines {
			defer e.Close()
		}
		first, again, resumed, moved := engines[0], engines[1], engines[2], engines[3]
		for range 2 {
			complete(t.Context(), first, engineapi.CompletionRequest{MaxTokens: 5})
		}
		assert.DeepEqual(t, first.Counters(), engineapi.Counters{PromptTokens: 128, CachedTokens: 64, GeneratedTokens: 10, Executions: 2})

		complete(t.Context(), again, engineapi.CompletionRequest{MaxTokens: 1})
		assert.Equal(t, again.Counters().RecomputedTokens, int64(64))

		w := complete(within(t, 340*time.Millisecond), first, engineapi.CompletionRequest{MaxTokens: 10})
		head, _ := pieces(t, w)
		ref := engineapi.KVExport{StreamID: w.Header().Get(engineapi.StreamIDHeader)}
		began := time.Now()
		var blob engineapi.KVBlob
		w = ask(t.Context(), first, http.MethodPost, engineapi.ExportPath, ref)
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &blob))
		assert.Equal(t, time.Since(began), 67*time.Millisecond)
		assert.DeepEqual(t, blob.Generated, head)
		assert.Equal(t, blob.Tokens, 67)

		rest := engineapi.CompletionRequest{MaxTokens: 10, Continue: head}
		text, _ := pieces(t, complete(t.Context(), resumed, rest))
		assert.DeepEqual(t, append(head, text...), Text(question, 10))
		assert.Equal(t, resumed.Counters().RecomputedTokens, int64(67))

		ask(t.Context(), moved, http.MethodPost, engineapi.ImportPath, blob)
		rest.KV = blob.ID
		began = time.Now()
		text, _ = pieces(t, complete(t.Context(), moved, rest))
		assert.DeepEqual(t, append(head, text...), Text(question, 10))
		assert.Equal(t, moved.Counters().RecomputedTokens, int64(0))
		assert.Equal(t, time.Since(began), 7*102*time.Millisecond)
	})
}

func TestOrdersAndFencing(t *testing.T) {
	o := exact()
	o.Fences = true
	o.LoadTime = time.Second
	in(t, o, func(t *testing.T, e *Engine) {
		other := fleet.ModelRef{Model: "other"}
		order := func(fencing uint64, kind engineapi.OrderKind) int {
			body := engineapi.Order{Fencing: fencing, Kind: kind, Model: other}
			return ask(t.Context(), e, http.MethodPost, engineapi.OrdersPath, body).Code
		}
		req := engineapi.CompletionRequest{Model: "other", Messages: question, MaxTokens: 1}
		try := func() int { return ask(t.Context(), e, http.MethodPost, engineapi.CompletionsPath, req).Code }
		assert.Equal(t, order(5, engineapi.LoadModel), http.StatusOK)
		assert.Equal(t, order(5, engineapi.LoadModel), http.StatusOK)
		assert.Equal(t, try(), http.StatusNotFound)
		time.Sleep(time.Second + time.Millisecond)
		assert.Equal(t, try(), http.StatusOK)
		assert.Equal(t, order(4, engineapi.UnloadModel), http.StatusConflict)
		assert.Equal(t, try(), http.StatusOK)
		assert.Equal(t, order(6, engineapi.UnloadModel), http.StatusOK)
		assert.Equal(t, try(), http.StatusNotFound)
	})
}

func TestEventsAreLateAndGappy(t *testing.T) {
	o := exact()
	o.EventDelay = time.Minute
	o.EventLoss = 0.5
	o.CacheBlocks = 4
	in(t, o, func(t *testing.T, e *Engine) {
		complete(t.Context(), e, engineapi.CompletionRequest{MaxTokens: 160}) // 14 blocks through a cache of 4
		page := func(since uint64) engineapi.CacheEvents { return e.events.since(time.Now(), since) }
		assert.Equal(t, len(page(0).Events), 0)
		time.Sleep(time.Minute)
		got := page(0)
		assert.Assert(t, len(got.Events) > 0 && uint64(len(got.Events)) < e.events.seq)
		assert.Equal(t, len(page(got.Next).Events), 0)
		assert.Equal(t, e.cache.used(), 4)
		assert.Assert(t, !e.cache.touch(prompt.Blocks(model, prompt.Tokens(prompt.Render(question)))[0]))
	})
}

func TestLoadLags(t *testing.T) {
	o := exact()
	o.LoadLag = 2 * time.Second
	in(t, o, func(t *testing.T, e *Engine) {
		time.Sleep(10 * time.Second)
		complete(within(t, time.Second), e, engineapi.CompletionRequest{MaxTokens: 1000})
		running := func() int { return e.load.report(time.Now()).Running }
		assert.Equal(t, running(), 0)
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, running(), 1)
	})
}

// Guards against a killed engine that ends a stream as if it were complete.
func TestKillCutsConnections(t *testing.T) {
	in(t, exact(), func(t *testing.T, e *Engine) {
		time.AfterFunc(500*time.Millisecond, func() { e.SetFaults(enginefault.Faults{Kill: true}) })
		aborted := func() (r any) {
			defer func() { r = recover() }()
			complete(t.Context(), e, engineapi.CompletionRequest{MaxTokens: 1000})
			return nil
		}
		assert.Equal(t, aborted(), http.ErrAbortHandler)
		assert.Equal(t, aborted(), http.ErrAbortHandler)
		<-e.Killed()
	})
}
