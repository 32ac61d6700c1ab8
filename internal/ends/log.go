package ends

import (
	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// LogEnd says that an endpoint ended, and under which requests.
func LogEnd(log *logrus.Entry, id fleet.EndpointID, c *quarantine.Crash) {
	log.WithFields(logrus.Fields{"endpoint": id, "requests": names(c), "leaving": c.Void}).Warn("endpoint ended under requests")
}

// LogChange says which requests are held from now on, and which no longer.
func LogChange(log *logrus.Entry, t *quarantine.Table, c quarantine.Change) {
	for _, k := range c.Held {
		log.WithFields(logrus.Fields{"request": k.String(), "crashes": t.SuspectedIn(k)}).Error("request held: it crashes the endpoints that run it")
	}
	for _, k := range c.Released {
		log.WithField("request", k.String()).Info("request released")
	}
}

// maxNamed bounds the requests that a log line names.
const maxNamed = 8

// names returns the suspects of a crash for a log line.
func names(c *quarantine.Crash) []string {
	all := c.Suspects[:min(len(c.Suspects), maxNamed)]
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.Request.String()
	}
	return out
}
