package node

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// configuration keeps the newest configuration in force, from the store or
// from other daemons, whichever has it first. Versions only ever rise.
type configuration struct {
	node   *Node
	store  *follow.Follower
	mu     sync.Mutex
	newest exchange.Config
}

func newConfiguration(n *Node) *configuration {
	c := &configuration{node: n}
	c.store = follow.New(n.platform.Store, n.platform.ConfigKind, c, n.watching.wait)
	return c
}

func (c *configuration) run(ctx context.Context) {
	c.node.watching.run(ctx, c.store, func() uint64 { return 0 })
}

// Listed implements follow.Handler.
func (c *configuration) Listed(all []objects.Object, _ uint64) {
	for _, o := range all {
		c.take(o)
	}
}

// Changed implements follow.Handler.
func (c *configuration) Changed(changes []objects.Change, _ uint64) {
	for _, ch := range changes {
		if !ch.Deleted {
			c.take(ch.Object)
		}
	}
}

// Lost implements follow.Handler.
func (c *configuration) Lost(err error) {
	c.node.say("configuration").WithError(err).Warn("store lost")
}

// Returned implements follow.Handler.
func (c *configuration) Returned(time.Time) { c.node.say("configuration").Info("store is back") }

func (c *configuration) take(o objects.Object) {
	if o.Name == c.node.platform.ConfigName {
		c.apply(o.Spec, "store")
	}
}

// apply puts a text in force if it is newer than what is.
func (c *configuration) apply(text []byte, source string) {
	log := c.node.say("configuration").WithField("source", source)
	t, err := c.node.platform.DecodeTable(text)
	if err != nil {
		log.WithError(err).Error("not understood")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.node.state.Configure(time.Now(), t) {
		return
	}
	c.newest = exchange.Config{Version: t.Version, Text: text}
	c.node.shareConnections()
	log.WithFields(map[string]any{"version": t.Version, "routes": len(t.Routes), "bytes": len(text)}).Info("in force")
}

// current returns the newest configuration; Version 0 is none.
func (c *configuration) current() exchange.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// heard takes what another daemon has.
func (c *configuration) heard(other exchange.Config) {
	if other.Version > c.current().Version && len(other.Text) > 0 {
		c.apply(other.Text, "peer")
	}
}
