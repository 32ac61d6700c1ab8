// Package logging creates the process's loggers. Each line names the part of the
// daemon that logs it. Prompts, answers and tokens must never be logged.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

// Part is the value of the field "part", which names the component that logs a line.
type Part string

// Components of the daemon, and the stand-ins.
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

// New returns a logger that writes to w. The settings must have been validated.
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

// parseLevel parses a level; an unknown one is taken as info.
func parseLevel(text string) logrus.Level {
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

// For returns a logger whose lines have the field "part".
func For(l *logrus.Logger, p Part) *logrus.Entry {
	return l.WithField("part", string(p))
}
