package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// target is one of the two ways to a completion.
type target struct {
	url    string
	token  string
	client *http.Client
}

func newTarget(address, token string) target {
	return target{
		url:    "http://" + address + engineapi.CompletionsPath,
		token:  token,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
	}
}

// ask is understood by both: engines ignore stream, entries need no version.
type ask struct {
	Model     string              `json:"model"`
	Adapter   string              `json:"adapter"`
	Version   string              `json:"version"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
}

// statusError is an answer with another status than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// answer is when a streamed answer's parts came.
type answer struct {
	first time.Duration // from sending to the first token
	whole time.Duration
	gaps  []time.Duration // between tokens
}

// stream asks for a streamed answer and reads all of it. Prompts differ, so
// that no answer is known before.
func (t target) stream(n, tokens int) (answer, error) {
	sent := time.Now()
	body, err := t.open(context.Background(), n, tokens)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = body.Close() }()
	return read(bufio.NewReader(body), sent, tokens)
}

// half reads half of an answer, calls there, and reads on until ctx ends.
func (t target) half(ctx context.Context, n, tokens int, there func()) error {
	body, err := t.open(ctx, n, tokens)
	if err != nil {
		there()
		return err
	}
	defer func() { _ = body.Close() }()
	r := bufio.NewReader(body)
	for seen := 0; ; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if !isToken(line) {
			continue
		}
		if seen++; seen == tokens/2 {
			there()
		}
	}
}

// open sends a request and returns the answer's events.
func (t target) open(ctx context.Context, n, tokens int) (io.ReadCloser, error) {
	body, err := json.Marshal(ask{
		Model: "harvester-diagnosis", Adapter: "cane", Version: "1",
		Messages:  []engineapi.Message{{Role: "user", Content: fmt.Sprintf("the elevator chain of machine %d jams %s", n, strings.Repeat("again and ", 100))}},
		MaxTokens: tokens, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.token != "" {
		req.Header.Set("Authorization", "Bearer "+t.token)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, statusError(resp.StatusCode)
	}
	return resp.Body, nil
}

// tokenMarks are found in an event of a token, and in none without: the
// engine's and the entry's.
var tokenMarks = [][]byte{[]byte(`"text":" `), []byte(`"text":"`), []byte(`"content":"`)}

func isToken(line []byte) bool {
	for _, mark := range tokenMarks {
		if at := bytes.Index(line, mark); at >= 0 {
			return line[at+len(mark)] != '"'
		}
	}
	return false
}

func read(r *bufio.Reader, sent time.Time, tokens int) (answer, error) {
	out := answer{gaps: make([]time.Duration, 0, tokens)}
	seen, last := 0, sent
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			break
		}
		if !isToken(line) {
			continue
		}
		now := time.Now()
		if seen++; seen == 1 {
			out.first = now.Sub(sent)
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
	}
	out.whole = time.Since(sent)
	if seen != tokens {
		return out, fmt.Errorf("%d of %d tokens came", seen, tokens)
	}
	return out, nil
}

func (t target) mustStream(b *testing.B, n, tokens int) answer {
	a, err := t.stream(n, tokens)
	if err != nil {
		b.Fatal(err)
	}
	return a
}
