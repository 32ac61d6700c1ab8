package ends

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// LogEnd logs the crash of an endpoint with the suspected requests and the parts of their
// prompts. settled is how many requests there are not suspected.
func LogEnd(log *logrus.Entry, id fleet.EndpointID, c *quarantine.Crash, settled int) {
	log.WithFields(logrus.Fields{
		"endpoint": id, "requests": names(c), "parts": partNames(c), "settled": settled, "leaving": c.Void,
	}).Warn("endpoint ended under requests")
}

// LogChange logs the requests and parts of prompts that are put in quarantine or released from it.
func LogChange(log *logrus.Entry, t *quarantine.Table, c quarantine.Change) {
	for _, k := range c.Held {
		if k.Kind == quarantine.PromptPart {
			logPart(log, k, t.Evidence(k))
			continue
		}
		log.WithFields(logrus.Fields{"request": k.String(), "crashes": t.SuspectedIn(k)}).Error("request held: it crashes the endpoints that run it")
	}
	for _, k := range c.Released {
		if k.Kind == quarantine.PromptPart {
			log.WithField("prompt_part", k.String()).Info("part of prompts released")
			continue
		}
		log.WithField("request", k.String()).Info("request released")
	}
}

func logPart(log *logrus.Entry, k quarantine.Key, e quarantine.Evidence) {
	log.WithFields(logrus.Fields{
		"prompt_part": k.String(), "crashes": e.Crashes, "excluded_parts": e.Excluded, "age_s": e.Age.Seconds(), "all_workspaces": e.Shared,
		"with": keyNames(e.With),
	}).Error("part of prompts held: it crashes the endpoints that write responses on it")
}

func keyNames(keys []quarantine.Key) []string {
	var out []string
	for _, k := range keys[:min(len(keys), maxNamedParts)] {
		out = append(out, k.String())
	}
	return out
}

// maxNamed limits the requests in a log line, maxNamedParts the parts.
const (
	maxNamed      = 8
	maxNamedParts = 24
)

// partNames returns the parts of the suspects' prompts, at most maxNamedParts of them.
func partNames(c *quarantine.Crash) []string {
	var out []string
	for _, p := range c.Prompts {
		for _, id := range p.Parts {
			if name := quarantine.PartOf(p.Scope, id).String(); len(out) < maxNamedParts && !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	return out
}

// names returns the suspected requests of a crash, at most maxNamed of them.
func names(c *quarantine.Crash) []string {
	all := c.Suspects[:min(len(c.Suspects), maxNamed)]
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.Request.String()
	}
	return out
}
