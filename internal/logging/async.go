package logging

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
)

// asyncLines is the number of lines buffered for a slow reader of the log.
const asyncLines = 1024

// TimeFormat is the format of the times in JSON lines.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewJSON returns a logger of JSON lines that never blocks on w: lines are buffered
// in a bounded ring, and the oldest are dropped while it is full. An unknown level
// is taken as info.
func NewJSON(w io.Writer, level string) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: TimeFormat})
	l.SetOutput(newAsync(w))
	l.SetLevel(parseLevel(level))
	return l
}

// async is a writer whose writes never block.
type async struct{ lines *ring.Ring[[]byte] }

func newAsync(w io.Writer) *async {
	a := &async{lines: ring.New[[]byte]("log", asyncLines)}
	go func() {
		for line := range a.lines.C() {
			_, _ = w.Write(line) // a failed write to the log can't be logged
		}
	}()
	return a
}

// Write buffers a copy of p, which is one line; it never fails.
func (a *async) Write(p []byte) (int, error) {
	a.lines.Push(append([]byte(nil), p...))
	return len(p), nil
}
