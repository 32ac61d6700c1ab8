// Package logging makes the process's log: short sentences on stderr, each with
// the part of the daemon that says it. Prompts, answers and tokens are never logged.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

// Part is the fixed prefix of one part's lines.
type Part string

// The parts.
const (
	Gateway    Part = "gateway"
	Dispatch   Part = "dispatch"
	Ledger     Part = "ledger"
	Routing    Part = "routing"
	Membership Part = "membership"
	Template   Part = "template"
	Platform   Part = "platform"
	Peer       Part = "peer"
	Operator   Part = "operator"
	Capacity   Part = "capacity"
	Quarantine Part = "quarantine"
	Daemon     Part = "daemon"
	Standin    Part = "standin"
)

// New returns a log that writes to w. Settings are taken as checked.
func New(w io.Writer, s settings.Log) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	if s.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	} else {
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	}
	l.SetLevel(parseLevel(s.Level))
	return l
}

// parseLevel reads a level; what can't be read is info.
func parseLevel(text string) logrus.Level {
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

// For returns the log of a part.
func For(l *logrus.Logger, p Part) *logrus.Entry {
	return l.WithField("part", string(p))
}
