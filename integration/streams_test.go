package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine"
)

const model = "harvester-diagnosis"

// chatBody is a completion request as callers send it.
type chatBody struct {
	Model     string              `json:"model"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
}

// question returns a prompt of some hundred tokens, another for each n.
func question(n int) []engineapi.Message {
	history := fmt.Sprintf("machine %d: %s", n, strings.Repeat("header stalled, belt replaced, pressure low; ", 20))
	return []engineapi.Message{{Role: "system", Content: "You diagnose harvesters."}, {Role: "user", Content: history}}
}

// streams are streamed completions that run at the same time.
type streams struct {
	tokens   int // of each answer
	outcomes []*caller.Outcome
	running  sync.WaitGroup
}

// stream sends n completions of so many tokens each.
func stream(t *testing.T, c *caller.Client, n, tokens int) *streams {
	t.Helper()
	s, err := startStreams(c, n, tokens)
	assert.NilError(t, err)
	return s
}

func startStreams(c *caller.Client, n, tokens int) (*streams, error) {
	s := &streams{tokens: tokens, outcomes: make([]*caller.Outcome, n)}
	for i := range n {
		body, err := json.Marshal(chatBody{Model: model, Messages: question(i), MaxTokens: tokens, Stream: true})
		if err != nil {
			return nil, err
		}
		r := &caller.Completion{Seed: uint64(i), Key: newKey(), Body: body}
		s.running.Go(func() { s.outcomes[i] = c.Complete(context.Background(), r) })
	}
	return s, nil
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// whole waits for all answers and checks each against the undisturbed text.
func (s *streams) whole(t *testing.T) {
	t.Helper()
	assert.Equal(t, s.broken(t.Logf), 0, "answers that are not whole, of %d", len(s.outcomes))
}

// broken waits for all answers and returns how many are not the undisturbed
// text, token by token and none of them twice.
func (s *streams) broken(logf func(format string, args ...any)) int {
	s.running.Wait()
	bad := 0
	for i, o := range s.outcomes {
		want := strings.Join(engine.Text(question(i), s.tokens), "")
		if o.End == caller.Answered && string(o.Text) == want && o.Duplicated == 0 && o.Missing == 0 {
			continue
		}
		bad++
		logf("stream %d: %s after %d tokens, %d twice, %d missing, %d resumes, %d moves, text equal: %t, error: %v",
			i, o.End, o.Tokens, o.Duplicated, o.Missing, o.Resumes, o.Moves, string(o.Text) == want, o.Err)
	}
	return bad
}

// longestGap returns the longest wait of a caller between two tokens.
func (s *streams) longestGap() time.Duration {
	longest := time.Duration(0)
	for _, o := range s.outcomes {
		if len(o.Gaps) > 0 {
			longest = max(longest, slices.Max(o.Gaps))
		}
	}
	return longest
}

// counted sums what callers did beside reading.
func (s *streams) counted() (resumes, moves int) {
	for _, o := range s.outcomes {
		resumes += o.Resumes
		moves += o.Moves
	}
	return resumes, moves
}

// underWay waits until the engines run n requests and have generated so many
// tokens for each on average.
func (c *cluster) underWay(t *testing.T, n, tokens int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("%d streams under way", n), func() bool {
		total := c.totals(t)
		return total.Executions >= int64(n) && total.GeneratedTokens >= int64(n*tokens)
	})
}

// totals sums the counters of the engines that answer.
func (c *cluster) totals(t *testing.T) engineapi.Counters {
	t.Helper()
	var sum engineapi.Counters
	for i := range c.layout.Standin.Engines {
		one, err := fetch[engineapi.Counters](c.engine(i) + engineapi.CountersPath)
		if err != nil {
			continue
		}
		sum.PromptTokens += one.PromptTokens
		sum.CachedTokens += one.CachedTokens
		sum.RecomputedTokens += one.RecomputedTokens
		sum.GeneratedTokens += one.GeneratedTokens
		sum.Executions += one.Executions
	}
	return sum
}
