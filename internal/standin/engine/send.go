package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// sender writes one reader's share of a stream as server-sent events.
type sender struct {
	e    *Engine
	s    *stream
	w    http.ResponseWriter
	r    *http.Request
	next int // offset of the next token to write
	buf  []byte
}

// send streams the answer from an offset on until it ends or the reader goes.
// The head is sent at once: it names the stream while it still queues.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	wake := s.attach()
	defer func() {
		if s.detach(wake) {
			s.expire(e.o.Linger, func() { e.drop(s) })
		}
	}()
	rc := http.NewResponseController(w)
	// A reader that stopped reading must not hold up the end of the engine.
	stop := context.AfterFunc(e.ctx, func() { _ = rc.SetWriteDeadline(time.Unix(1, 0)) })
	defer stop()
	w.Header().Set(engineapi.StreamIDHeader, s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	snd := &sender{e: e, s: s, w: w, r: r, next: from}
	snd.run(wake, rc)
}

func (snd *sender) run(wake chan struct{}, rc *http.ResponseController) {
	for {
		p := snd.s.progress()
		if snd.next < p.produced || p.ended {
			snd.e.checkReader(snd.r)
			if snd.write(p) != nil || rc.Flush() != nil || p.ended {
				return
			}
		}
		select {
		case <-wake:
		case <-snd.r.Context().Done():
			return
		case <-snd.e.killed:
			panic(http.ErrAbortHandler)
		}
	}
}

// checkReader holds a reader whose connection went silent.
func (e *Engine) checkReader(r *http.Request) {
	if e.isKilled() {
		panic(http.ErrAbortHandler)
	}
	if e.isSilent(r) {
		e.hang(r)
	}
}

// write sends all tokens that exist in one piece, and the end if it is there.
func (snd *sender) write(p progress) error {
	snd.buf = snd.buf[:0]
	for ; snd.next < p.produced; snd.next++ {
		snd.appendToken(snd.next)
	}
	if p.ended && p.whole {
		snd.appendEnd(p)
	}
	_, err := snd.w.Write(snd.buf)
	return err
}

// appendToken writes the event by hand: the words need no escaping.
func (snd *sender) appendToken(i int) {
	b := append(snd.buf, "id: "...)
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, "\ndata: {\"offset\":"...)
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, ",\"text\":\""...)
	b = append(b, token(snd.s.seed, i)...)
	snd.buf = append(b, "\"}\n\n"...)
}

func (snd *sender) appendEnd(p progress) {
	piece := engineapi.Piece{
		Offset: snd.s.total,
		Done:   true,
		Usage: &engineapi.Usage{
			PromptTokens:     len(snd.s.prompt),
			CachedTokens:     p.cached,
			CompletionTokens: snd.s.total,
		},
	}
	data, _ := json.Marshal(piece)
	b := append(snd.buf, "id: "...)
	b = strconv.AppendInt(b, int64(piece.Offset), 10)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	snd.buf = append(b, "\n\n"...)
}
