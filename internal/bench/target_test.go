package bench

import (
	"bufio"
	"bytes"
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

// answer is when a streamed answer's parts came.
type answer struct {
	first time.Duration // from sending to the first token
	whole time.Duration
	gaps  []time.Duration // between tokens
}

// stream asks for a streamed answer and reads all of it. Prompts differ, so
// that no answer is known before.
func (t target) stream(n, tokens int) (answer, error) {
	body, err := json.Marshal(ask{
		Model: "harvester-diagnosis", Adapter: "cane", Version: "1",
		Messages:  []engineapi.Message{{Role: "user", Content: fmt.Sprintf("the elevator chain of machine %d jams %s", n, strings.Repeat("again and ", 100))}},
		MaxTokens: tokens, Stream: true,
	})
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequest(http.MethodPost, t.url, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.token != "" {
		req.Header.Set("Authorization", "Bearer "+t.token)
	}
	sent := time.Now()
	resp, err := t.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return answer{}, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return read(bufio.NewReader(resp.Body), sent, tokens)
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
