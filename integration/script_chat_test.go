package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine"
)

// doChat asks for a completion and prints its text:
//
//	chat [-stream] [-key K] [-status N] [-verdict V] [-wait] ENTRY TOKENS PROMPT
//
// An answer with status 200 must be the undisturbed text. A streamed one must
// have an id on every event, and each id must count the tokens up to its event.
func doChat(ts *testscript.TestScript, _ *script, args []string) error {
	f := flag.NewFlagSet("chat", flag.ContinueOnError)
	var e expectation
	e.flags(f, http.StatusOK)
	stream := f.Bool("stream", false, "")
	key := f.String("key", "", "")
	if err := f.Parse(args); err != nil {
		return err
	}
	if err := need(f.Args(), 3, "chat ENTRY TOKENS PROMPT"); err != nil {
		return err
	}
	tokens, err := strconv.Atoi(f.Arg(1))
	if err != nil {
		return err
	}
	messages := []engineapi.Message{{Role: "user", Content: f.Arg(2)}}
	body, err := json.Marshal(chatBody{Model: model, Messages: messages, MaxTokens: tokens, Stream: *stream})
	if err != nil {
		return err
	}
	header := http.Header{"Authorization": {"Bearer " + ts.Getenv("token")}}
	if *key != "" {
		header.Set(serviceapi.KeyHeader, *key)
	}
	r, err := e.until(func() (reply, error) {
		return roundTrip(http.MethodPost, f.Arg(0)+caller.CompletionsPath, header, body)
	})
	if err != nil {
		return err
	}
	text := string(r.body)
	if r.status == http.StatusOK {
		if text, err = textOf(r.body, *stream); err != nil {
			return err
		}
		if want := strings.Join(engine.Text(messages, tokens), ""); text != want {
			return fmt.Errorf("text %q, want %q", text, want)
		}
		text += "\n"
	}
	_, err = ts.Stdout().Write([]byte(text))
	return err
}

func textOf(body []byte, stream bool) (string, error) {
	if stream {
		return streamedText(body)
	}
	var a chatAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return "", err
	}
	if len(a.Choices) != 1 {
		return "", fmt.Errorf("%d choices", len(a.Choices))
	}
	return a.Choices[0].Message.Content, nil
}

// chunk is what the tests need of one event's data.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// streamedText puts the text of a whole event stream together.
func streamedText(body []byte) (string, error) {
	var text strings.Builder
	at := 0
	for event := range bytes.SplitSeq(bytes.TrimSuffix(body, []byte("\n\n")), []byte("\n\n")) {
		id, data, err := eventOf(event)
		if err != nil {
			return "", err
		}
		if string(data) == "[DONE]" {
			return text.String(), nil
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return "", err
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		at++
		if id != at {
			return "", fmt.Errorf("event id %d, want %d", id, at)
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return "", fmt.Errorf("the stream ended after %d tokens without [DONE]", at)
}

// eventOf returns an event's id and data. An event without an id is an error.
func eventOf(event []byte) (id int, data []byte, err error) {
	id = -1
	for lines := bufio.NewScanner(bytes.NewReader(event)); lines.Scan(); {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if id, err = strconv.Atoi(v); err != nil {
				return id, nil, err
			}
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = []byte(v)
		}
	}
	if id < 0 {
		return id, nil, fmt.Errorf("event without an id: %s", event)
	}
	return id, data, nil
}

// beginStream starts streamed completions in the background, which use the
// entries in the order given and go on elsewhere as callers do, and waits until
// tokens of all of them have come:
//
//	begin NAME COUNT TOKENS ENTRY...
func beginStream(_ *testscript.TestScript, s *script, args []string) error {
	if err := need(args, 4, "begin NAME COUNT TOKENS ENTRY..."); err != nil {
		return err
	}
	count, _ := strconv.Atoi(args[1])
	tokens, _ := strconv.Atoi(args[2])
	seen := newProgress(count)
	client := caller.New(caller.Options{
		Seeds:           args[3:],
		Transport:       pinned{entries: args[3:], next: seen.watch(caller.NewTransport())},
		ProgressTimeout: progressTimeout,
		RequestTimeout:  requestTimeout,
	}, []string{deployment.DevToken})
	running, err := startStreams(client, count, tokens)
	if err != nil {
		return err
	}
	s.streams[args[0]] = running
	select {
	case <-seen.all:
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("not all of %d streams have begun", count)
	}
}

// finishStream waits for the answers of begin and checks that all are whole:
//
//	finish NAME
func finishStream(ts *testscript.TestScript, s *script, args []string) error {
	if err := need(args, 1, "finish NAME"); err != nil {
		return err
	}
	running, ok := s.streams[args[0]]
	if !ok {
		return fmt.Errorf("no streams are called %s", args[0])
	}
	if bad := running.broken(ts.Logf); bad > 0 {
		return fmt.Errorf("%d of %d answers are not whole", bad, len(running.outcomes))
	}
	return nil
}
