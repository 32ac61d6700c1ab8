package endpoint

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint/sse"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Stream reads the pieces of a completion. Next is for one goroutine; Close
// may be called by any at any time.
type Stream struct {
	id     string
	pool   *pool
	gen    *generation
	dog    *watchdog
	body   io.ReadCloser
	reader *progressReader
	events *sse.Reader
	err    error       // what Next returns from now on
	done   atomic.Bool // the last piece was returned
}

func newStream(p *pool, gen *generation, dog *watchdog, resp *http.Response, call Call, began time.Time) *Stream {
	reader := &progressReader{
		src:     resp.Body,
		dog:     dog,
		first:   call.FirstToken,
		firstBy: began.Add(call.FirstToken),
		between: call.BetweenToken,
	}
	dog.rest()
	return &Stream{
		id:     resp.Header.Get(engineapi.StreamIDHeader),
		pool:   p,
		gen:    gen,
		dog:    dog,
		body:   resp.Body,
		reader: reader,
		events: sse.NewReader(reader),
	}
}

// ID names the stream at its engine, for Resume and Cancel.
func (s *Stream) ID() string { return s.id }

// Next returns the next piece, and io.EOF after the one that is Done. Any
// other error carries the verdict MayHaveRun: *Silent, ErrCut, ErrMalformed or
// the context's.
func (s *Stream) Next() (engineapi.Piece, error) {
	if s.err != nil {
		return engineapi.Piece{}, s.err
	}
	event, err := s.events.Next()
	if err != nil {
		return engineapi.Piece{}, s.fail(s.cause(err))
	}
	s.reader.begun = true
	piece, err := decodePiece(event.Data)
	if err != nil {
		return engineapi.Piece{}, s.fail(errors.Join(ErrMalformed, err))
	}
	if piece.Done {
		s.err = io.EOF
		s.done.Store(true)
	}
	return piece, nil
}

func (s *Stream) fail(err error) error {
	s.dog.stop()
	s.err = verdict.Wrap(verdict.MayHaveRun, Error.Wrap(err))
	return s.err
}

// cause names what ended the stream before its last piece.
func (s *Stream) cause(err error) error {
	if s.dog.silent() {
		return s.pool.failure(s.dog, s.gen, err, s.silence())
	}
	if s.dog.ctx.Err() != nil || errors.Is(err, sse.ErrTooLong) {
		return err
	}
	return errors.Join(ErrCut, err)
}

func (s *Stream) silence() *Silent {
	silent := &Silent{Address: s.pool.address, StreamID: s.id, Stage: BeforeFirst, After: s.reader.first}
	if s.reader.begun {
		silent.Stage = Between
		silent.After = s.reader.between
	}
	return silent
}

// drainTime bounds the wait for the end of an answer whose last piece was
// read. It comes with that piece or right after it.
const drainTime = 20 * time.Millisecond

// maxDrain bounds what is read for it, bytes.
const maxDrain = 4 << 10

// Close ends the exchange. The engine goes on generating for a while unless
// the last piece was read or Cancel is called.
func (s *Stream) Close() {
	if s.done.Load() {
		// Read to its end, the connection can be used again.
		s.dog.arm(drainTime)
		_, _ = io.CopyN(io.Discard, s.body, maxDrain)
	}
	s.dog.stop()
	_ = s.body.Close()
}
