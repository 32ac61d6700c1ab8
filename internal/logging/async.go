package logging

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
)

// asyncLines bounds the lines that wait for a reader of the log.
const asyncLines = 1024

// TimeFormat is that of times in lines.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewJSON returns a log of JSON lines that never waits for its reader: lines
// wait in a bounded ring, and the oldest are dropped while it is full.
func NewJSON(w io.Writer, level string) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: TimeFormat})
	l.SetOutput(newAsync(w))
	l.SetLevel(parseLevel(level))
	return l
}

// async is a writer whose writes never wait.
type async struct{ lines *ring.Ring[[]byte] }

func newAsync(w io.Writer) *async {
	a := &async{lines: ring.New[[]byte]("log", asyncLines)}
	go func() {
		for line := range a.lines.C() {
			_, _ = w.Write(line) // where nobody reads the log there is nobody to tell
		}
	}()
	return a
}

// Write takes a line; it never fails.
func (a *async) Write(p []byte) (int, error) {
	a.lines.Push(append([]byte(nil), p...))
	return len(p), nil
}
