package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// pieces returns the events of the pieces from one offset up to another, inclusive.
func pieces(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: {\"offset\":%d,\"text\":\" w%d\"}\n\n", n, n, n)
	}
	return b.String()
}

// lastPiece is the end of an answer of four tokens.
const lastPiece = "id: 4\ndata: {\"offset\":4,\"text\":\"\",\"done\":true}\n\n"

// streamOf returns a stream whose answer has a body.
func streamOf(body io.Reader) *Stream {
	resp := &http.Response{Header: make(http.Header), Body: io.NopCloser(body)}
	return newStream(newPool(address, &Options{}), nil, newWatchdog(context.Background(), 0), resp, StreamOptions{}, time.Now())
}

// readPieces returns the pieces before the first error.
func readPieces(s *Stream) (all []engineapi.Piece, err error) {
	for {
		p, err := s.Next()
		if err != nil {
			return all, err
		}
		all = append(all, p)
	}
}

func TestPiecesOfAWholeStream(t *testing.T) {
	for _, body := range []string{
		pieces(0, 3) + lastPiece,
		": comment\n\n" + strings.ReplaceAll(pieces(0, 3)+lastPiece, "\n", "\r\n"),
		"data: {\"offset\":0,\"text\":\"a\"}\n\n" + pieces(1, 3) + lastPiece,
		pieces(0, 1) + "data: {\"offset\":2,\"text\":\"a\"}\n\n" + pieces(3, 3) + lastPiece,
	} {
		all, err := readPieces(streamOf(strings.NewReader(body)))
		assert.ErrorIs(t, err, io.EOF, body)
		assert.Equal(t, len(all), 5)
	}
}

// Guards against pieces after bytes that no engine wrote, and answers with them that look whole.
func TestPiecesHoldNothingThatNoEngineWrote(t *testing.T) {
	for name, body := range map[string]string{ // the pieces before the mark are valid
		"empty id":             pieces(0, 1) + "|id: \ndata: {\"offset\":2,\"text\":\"x\"}\n\n" + pieces(3, 3) + lastPiece,
		"noise first":          "|x7 noise\n\n" + pieces(0, 3) + lastPiece,
		"noise within":         pieces(0, 1) + "|id: 2\nx7 noise\ndata: {\"offset\":2,\"text\":\"x\"}\n\n" + pieces(3, 3) + lastPiece,
		"noise before the end": pieces(0, 3) + "|x7 noise\n\n" + lastPiece,
		"another answer":       pieces(0, 1) + "|HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + pieces(2, 3) + lastPiece,
		"head of an answer":    pieces(0, 1) + "|Content-Length: 7\n\n" + pieces(2, 3) + lastPiece,
		"a piece twice":        pieces(0, 1) + "|" + pieces(1, 3) + lastPiece,
		"an earlier piece":     pieces(0, 2) + "|" + pieces(0, 0) + pieces(3, 3) + lastPiece,
		"a piece is missing":   pieces(0, 1) + "|" + pieces(3, 3) + lastPiece,
		"the end is early":     pieces(0, 1) + "|" + lastPiece,
		"id that is no number": pieces(0, 1) + "|id: x7\ndata: {\"offset\":2,\"text\":\"x\"}\n\n" + pieces(3, 3) + lastPiece,
		"two ids":              pieces(0, 1) + "|id: 2\nid: 3\ndata: {\"offset\":2,\"text\":\"x\"}\n\n" + pieces(3, 3) + lastPiece,
		"id of another piece":  pieces(0, 1) + "|id: 2\ndata: {\"offset\":3,\"text\":\"x\"}\n\n" + pieces(3, 3) + lastPiece,
		"id of another end":    pieces(0, 3) + "|id: 4\ndata: {\"offset\":9,\"text\":\"\",\"done\":true}\n\n",
		"negative offset":      pieces(0, 1) + "|data: {\"offset\":-2,\"text\":\"x\"}\n\n" + pieces(3, 3) + lastPiece,
		"another JSON value":   pieces(0, 1) + "|id: 2\ndata: null\n\n" + pieces(3, 3) + lastPiece,
		"control characters":   pieces(0, 1) + "|id: 2\ndata: {\"offset\":2,\"text\":\"x\"}\x00\n\n" + pieces(3, 3) + lastPiece,
		"no text":              pieces(0, 1) + "|id: 2\ndata: {\"offset\":2,\"text\":\"\xff\"}\n\n" + pieces(3, 3) + lastPiece,
		"end within an event":  pieces(0, 3) + "|" + strings.TrimSuffix(lastPiece, "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			valid, _, _ := strings.Cut(body, "|")
			s := streamOf(strings.NewReader(strings.Replace(body, "|", "", 1)))
			all, err := readPieces(s)
			assert.Equal(t, len(all), strings.Count(valid, "\n\n"))
			assert.Assert(t, !errors.Is(err, io.EOF), "%v", err)
			assert.Assert(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrTruncated), "%v", err)
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			_, again := s.Next()
			assert.Equal(t, again, err)
		})
	}
}

// endRecorder records whether its source was read to its end.
type endRecorder struct {
	io.Reader
	ended bool
}

func (r *endRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.ended = r.ended || err == io.EOF
	return n, err
}

// Guards against a connection that is used again after bytes that follow a stream's end: a client reuses
// connections whose answers it has read to their ends.
func TestConnectionWithBytesAfterTheLastPieceIsNotReused(t *testing.T) {
	for rest, reused := range map[string]bool{"": true, "x7 noise\n\n": false, pieces(0, 1): false} {
		for _, together := range []bool{false, true} {
			body := &endRecorder{Reader: io.MultiReader(strings.NewReader(pieces(0, 3)+lastPiece), strings.NewReader(rest))}
			if together {
				body.Reader = strings.NewReader(pieces(0, 3) + lastPiece + rest)
			}
			s := streamOf(body)
			all, err := readPieces(s)
			assert.Assert(t, len(all) == 5 && errors.Is(err, io.EOF))
			s.Close()
			assert.Equal(t, body.ended, reused, "%q %v", rest, together)
		}
	}
}

// Guards against reports of zero load or without models from answers that hold none.
func TestCallsFailOnAnswersThatAreNoWholeValue(t *testing.T) {
	for _, body := range []string{"", "{}x7 noise", "{}{}", "{", "x7"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		defer server.Close()
		c := NewEngines(Options{})
		defer c.Close()
		_, err := c.Load(t.Context(), strings.TrimPrefix(server.URL, "http://"))
		assert.ErrorIs(t, err, ErrMalformed, body)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	}
}

// Guards against streams that never end since their engines send bytes, but no piece.
func TestStreamsWithoutFurtherPiecesStall(t *testing.T) {
	for _, bytes := range []string{": c\n\n", "\n", ": c\n", "x"} {
		for _, begin := range []string{"", pieces(0, 1)} {
			synctest.Test(t, func(t *testing.T) {
				wd := newWatchdog(t.Context(), 0)
				r, w := io.Pipe()
				context.AfterFunc(wd.ctx, func() { _ = r.CloseWithError(wd.ctx.Err()) })
				go func() {
					_, _ = io.WriteString(w, begin)
					for {
						time.Sleep(100 * time.Millisecond)
						if _, err := io.WriteString(w, bytes); err != nil {
							return
						}
					}
				}()
				resp := &http.Response{Header: make(http.Header), Body: r}
				began := time.Now()
				p := newPool(address, &Options{})
				s := newStream(p, p.current(), wd, resp, StreamOptions{FirstTokenTimeout: time.Second, StallTimeout: time.Second}, began)
				ended := time.AfterFunc(time.Minute, s.Close)
				all, err := readPieces(s)
				assert.Assert(t, ended.Stop())
				assert.Equal(t, len(all), strings.Count(begin, "\n\n"))
				var stall *StallError
				assert.Assert(t, errors.As(err, &stall), "%v", err)
				assert.Equal(t, time.Since(began), time.Second)
				s.Close()
				time.Sleep(time.Second)
			})
		}
	}
}
