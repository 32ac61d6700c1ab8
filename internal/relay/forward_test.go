package relay

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Guards against daemons avoided for a crash of an endpoint, and silent ones that aren't.
func TestDaemonAnswered(t *testing.T) {
	head := attemptResult{headReceived: true}
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, c := range []struct {
		name string
		ctx  context.Context
		res  attemptResult
		err  error
		want bool
	}{
		{"whole answer", t.Context(), head, nil, true},
		{"refusal", t.Context(), attemptResult{}, nil, true},
		{"no head", t.Context(), attemptResult{}, io.ErrUnexpectedEOF, false},
		{"broken off", t.Context(), head, io.ErrUnexpectedEOF, true},
		{"reset", t.Context(), head, syscall.ECONNRESET, true},
		{"silent", t.Context(), head, upstream.ErrSilent, false},
		{"unacknowledged", t.Context(), head, syscall.ETIMEDOUT, false},
		{"past the deadline", t.Context(), head, os.ErrDeadlineExceeded, false},
		{"caller left", left, head, os.ErrDeadlineExceeded, true},
	} {
		assert.Equal(t, daemonAnswered(c.ctx, c.res, c.err), c.want, c.name)
	}
}
