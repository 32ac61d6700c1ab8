package endpoint

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/eventstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// maxPieceBytes bounds one event. An event carries one token or a usage record; a larger one comes from a
// faulty peer and could exhaust the memory.
const maxPieceBytes = 256 << 10

// Stream reads the pieces of a completion. Only one goroutine may call Next; any
// may call Close at any time.
type Stream struct {
	id       string
	pool     *pool
	gen      *generation
	watchdog *watchdog
	body     io.ReadCloser
	reader   *progressReader
	events   *eventstream.Reader
	next     int         // offset of the next piece; -1 before the first
	err      error       // returned by all later calls of Next
	done     atomic.Bool // the last piece was returned
}

func newStream(p *pool, gen *generation, wd *watchdog, resp *http.Response, opts StreamOptions, began time.Time) *Stream {
	reader := &progressReader{
		src:           resp.Body,
		watchdog:      wd,
		firstTimeout:  opts.FirstTokenTimeout,
		firstDeadline: began.Add(opts.FirstTokenTimeout),
		stallTimeout:  opts.StallTimeout,
	}
	wd.disarm()
	return &Stream{
		id:       resp.Header.Get(engineapi.StreamIDHeader),
		pool:     p,
		gen:      gen,
		watchdog: wd,
		body:     resp.Body,
		reader:   reader,
		events:   eventstream.NewReader(reader, eventstream.ConsecutiveOptional, maxPieceBytes),
		next:     -1,
	}
}

// ID returns the engine's id of the stream, for Resume and Cancel.
func (s *Stream) ID() string { return s.id }

// Next returns the next piece, and io.EOF after the piece that is marked Done. Any
// other error carries the verdict MayHaveRun: *StallError, ErrTruncated,
// ErrMalformed or the context's error.
func (s *Stream) Next() (engineapi.Piece, error) {
	if s.err != nil {
		return engineapi.Piece{}, s.err
	}
	event, err := s.events.Next()
	s.reader.endPiece()
	if err != nil {
		return engineapi.Piece{}, s.fail(s.cause(err))
	}
	s.reader.firstRead = true
	piece, err := decodePiece(event.Data)
	if err == nil {
		err = s.checkOffset(event.ID, piece.Offset)
	}
	if err != nil {
		return engineapi.Piece{}, s.fail(errors.Join(ErrMalformed, err))
	}
	if piece.Done {
		s.err = io.EOF
		s.done.Store(true)
	}
	return piece, nil
}

// checkOffset checks that a piece follows the one before, and that its event's id, if it has one, is its
// offset.
func (s *Stream) checkOffset(id []byte, offset int) error {
	if offset < 0 || s.next >= 0 && offset != s.next {
		return fmt.Errorf("piece at offset %d instead of %d", offset, s.next)
	}
	var digits [20]byte
	if id != nil && !bytes.Equal(id, strconv.AppendInt(digits[:0], int64(offset), 10)) {
		return fmt.Errorf("piece at offset %d in event %q", offset, id)
	}
	s.next = offset + 1
	return nil
}

func (s *Stream) fail(err error) error {
	s.watchdog.stop()
	s.err = verdict.Wrap(verdict.MayHaveRun, Error.Wrap(err))
	return s.err
}

// cause returns the error for a stream that ended before its last piece.
func (s *Stream) cause(err error) error {
	if s.watchdog.expired() {
		return s.pool.wrapFailure(s.watchdog, s.gen, err, s.stallError())
	}
	if s.watchdog.ctx.Err() != nil {
		return err
	}
	var fault *eventstream.Fault
	if errors.As(err, &fault) {
		return errors.Join(ErrMalformed, err)
	}
	return errors.Join(ErrTruncated, err)
}

func (s *Stream) stallError() *StallError {
	stall := &StallError{Address: s.pool.address, StreamID: s.id, Stage: BeforeFirstPiece, After: s.reader.firstTimeout}
	if s.reader.firstRead {
		stall.Stage = BetweenPieces
		stall.After = s.reader.stallTimeout
	}
	return stall
}

// drainTimeout bounds the wait for the end of an answer after its last piece. The
// end arrives with that piece or right after it.
const drainTimeout = 20 * time.Millisecond

// Close ends the exchange. The engine goes on generating for a while unless the
// last piece was read or Cancel is called.
func (s *Stream) Close() {
	if s.done.Load() && !s.events.Buffered() {
		// Read the answer to its end so that the connection can be reused, unless bytes follow that can't
		// belong to it.
		s.watchdog.arm(drainTimeout)
		_, _ = io.CopyN(io.Discard, s.body, 1)
	}
	s.watchdog.stop()
	_ = s.body.Close()
}
