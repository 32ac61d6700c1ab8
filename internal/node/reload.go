package node

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadInterval is how often the settings' file is read: it may change without a
// signal.
const reloadInterval = 2 * time.Second

// watchSettings applies the settings' file whenever it changes, at once on a
// signal. A file with a mistake is logged and the settings in force stay.
func (n *Node) watchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	last, err := os.ReadFile(path)
	if err != nil {
		n.logFor("settings").WithError(err).Warn("not read")
	}
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-tick.C:
		}
		text, err := os.ReadFile(path)
		if err != nil {
			n.logFor("settings").WithError(err).Warn("not read")
			continue
		}
		if !bytes.Equal(text, last) {
			last = text
			n.reload(text)
		}
	}
}

// reload applies the settings that can change while the daemon runs: seeds, the log's
// level and the grace of a stop. The others are applied at the next start.
func (n *Node) reload(text []byte) {
	log := n.logFor("settings")
	s, err := ParseSettings(text)
	if err != nil {
		log.WithError(err).Error("not applied")
		return
	}
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		n.log.SetLevel(level)
	}
	n.members.addSeeds(s)
	n.grace.Store(int64(seconds(s.Bounds.GraceSeconds)))
	log.Info("applied")
}
