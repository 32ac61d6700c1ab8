package gateway

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
)

// Types of events other than the default one, whose data is a chunk.
const (
	eventAccepted = "accepted" // the first event: the request was accepted
	eventMoved    = "moved"    // another entry took the request over; resume there. The last event
	eventError    = "error"    // a problem; the last event
)

// moved is the data of an eventMoved: the request's id and the new entry's host:port.
type moved struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// stream sends an answer as server-sent events, from the token at offset from
// on. The id of a token's event is the number of tokens that the caller has
// received with it. The two events after the last token continue the count, so
// that their ids are unique. An eventMoved or eventError repeats the last id,
// since the caller resumes after that token.
func (g *Gateway) stream(w http.ResponseWriter, r *http.Request, operation string, m meta, a Answer, from int) {
	g.opts.Observer.Answered(operation, http.StatusOK)
	out := &tokenStream{sse: newSSEWriter(w, g.opts.Limits.WriteTimeout), meta: m, observer: g.opts.Observer, offset: from, lastSent: m.start}
	if out.sendAccepted() != nil {
		return
	}
	for {
		part, err := a.Next(r.Context(), out.offset)
		if err != nil || out.send(part) != nil {
			return
		}
		if part.Done || part.MovedTo != "" || part.Failure != nil {
			return
		}
	}
}

// tokenStream is the state of one streamed HTTP response.
type tokenStream struct {
	sse      *sseWriter
	meta     meta
	observer Observer
	prefix   []byte    // see tokenPrefix; built with the first token
	offset   int       // tokens of the answer that the caller has
	sent     int       // tokens sent on this stream
	lastSent time.Time // of the last tokens; the start of the response before the first
}

func (t *tokenStream) sendAccepted() error {
	first := t.meta.chunk(chunkChoice{Delta: delta{Role: "assistant"}}, nil)
	if err := t.sse.event(t.offset, eventAccepted, first); err != nil {
		return err
	}
	return t.sse.flush()
}

func (t *tokenStream) send(p Part) error {
	for _, token := range p.Tokens {
		t.appendToken(token)
	}
	if len(p.Tokens) > 0 {
		t.observe(len(p.Tokens))
	}
	var err error
	switch {
	case p.Failure != nil:
		err = t.appendFailure(p.Failure)
	case p.MovedTo != "":
		err = t.sse.event(t.offset, eventMoved, moved{ID: string(t.meta.id), Address: p.MovedTo})
	case p.Done:
		err = t.appendDone(p)
	}
	if err != nil {
		return err
	}
	return t.sse.flush()
}

func (t *tokenStream) appendToken(text string) {
	if t.prefix == nil {
		t.prefix = t.meta.tokenPrefix()
	}
	t.offset++
	t.sse.begin(t.offset, "")
	t.sse.buf = append(t.sse.buf, t.prefix...)
	t.sse.buf = appendJSONString(t.sse.buf, text)
	t.sse.buf = append(t.sse.buf, tokenSuffix...)
	t.sse.end()
}

// observe records the latency of n tokens that arrived together: the time since
// the tokens before them is divided evenly among the n.
func (t *tokenStream) observe(n int) {
	now := time.Now()
	gap := now.Sub(t.lastSent)
	t.lastSent = now
	if t.sent == 0 {
		t.observer.FirstToken(gap)
	} else {
		t.observer.BetweenTokens(gap / time.Duration(n))
	}
	t.sent += n
}

func (t *tokenStream) appendDone(p Part) error {
	last := t.meta.chunk(chunkChoice{FinishReason: &finishLength}, newUsage(p.Usage))
	if err := t.sse.event(t.offset+1, "", last); err != nil {
		return err
	}
	t.sse.begin(t.offset+2, "")
	t.sse.buf = append(t.sse.buf, "[DONE]"...)
	t.sse.end()
	return nil
}

func (t *tokenStream) appendFailure(p *problem.Problem) error {
	return t.sse.event(t.offset, eventError, p.ForRequest(string(t.meta.id)))
}
