package node

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// configuration keeps the newest configuration in force, from the store or
// from other daemons, whichever has it first. Versions only ever rise.
type configuration struct {
	node         *Node
	store        *follow.Follower
	mu           sync.Mutex
	newest       spread.Text
	hubRevision  uint64    // the store's revision up to which hubs know no newer version
	announced    uint64    // the newest version that any daemon has told of
	behindSince  time.Time // when one that isn't in force was told of first
	behindLogged bool      // said in the log for since

	sourceMu sync.Mutex
	source   spread.Source // for other daemons
}

func newConfiguration(n *Node) *configuration {
	c := &configuration{node: n}
	c.store = follow.New(n.platform.Store, n.platform.ConfigKind, c, n.watch)
	return c
}

func (c *configuration) run(ctx context.Context) {
	c.node.watch.run(ctx, c.store, c.upTo, c.due)
}

// due reports whether this daemon should watch the configuration now. Where the
// store doesn't answer, one that isn't a hub asks it for the endpoints alone until
// it does.
func (c *configuration) due() bool {
	w := c.node.watch
	if w.reliesOnHubs() && c.node.endpoints.store.Lost() {
		return c.lags(time.Now())
	}
	listed := c.store.Revision() > 0 || c.current().Version > 0 // there may be none yet
	return w.due(listed) || c.lags(time.Now())
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
	c.node.logFor("configuration").WithError(err).Warn("store lost")
}

// Recovered implements follow.Handler.
func (c *configuration) Recovered(time.Time) { c.node.logFor("configuration").Info("store is back") }

func (c *configuration) take(o objects.Object) {
	if o.Name == c.node.platform.ConfigName {
		_ = c.apply(o.Spec, "store") // said in the log; the next version may be better
	}
}

// apply puts a text in force if it is newer than what is.
func (c *configuration) apply(text []byte, source string) error {
	log := c.node.logFor("configuration").WithField("source", source)
	t, err := c.node.platform.DecodeTable(text)
	if err != nil {
		log.WithError(err).Error("not understood")
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.node.state.Configure(now, t) {
		return nil
	}
	if c.announced > c.newest.Version {
		log = log.WithField("known_ms", now.Sub(c.behindSince).Milliseconds())
	}
	c.newest = spread.Text{Version: t.Version, Bytes: text}
	c.offer(c.newest)
	c.node.startGate.hasConfiguration()
	c.node.shareConnections()
	c.behindLogged = false
	log.WithFields(map[string]any{"version": t.Version, "routes": len(t.Routes), "bytes": len(text)}).Info("in force")
	return nil
}

// current returns the newest configuration; Version 0 is none.
func (c *configuration) current() spread.Text {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// offer makes a version ready for other daemons.
func (c *configuration) offer(t spread.Text) {
	c.sourceMu.Lock()
	defer c.sourceMu.Unlock()
	c.source.Add(t)
}

// piece answers another daemon that fetches.
func (c *configuration) piece(w spread.Want) (spread.Piece, error) {
	c.sourceMu.Lock()
	defer c.sourceMu.Unlock()
	return c.source.Answer(w)
}

// maxLag is how long a version may be known of and not be in force before this
// daemon looks into the store itself. Two sources that don't answer have been
// given up by then.
const maxLag = time.Second

// noteVersion notes that the daemon at an address has a version.
func (c *configuration) noteVersion(now time.Time, version uint64, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.announced {
		return
	}
	if c.announced <= c.newest.Version {
		c.behindSince = now
	}
	c.announced = version
	c.node.logFor("configuration").WithFields(map[string]any{
		"version": version, "from": address, "in_force": c.newest.Version,
	}).Info("newer version known")
}

// lags reports whether a newer version has been known of for long: those that have it
// may be of an earlier release, which can't be fetched from.
func (c *configuration) lags(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lag(now) <= maxLag {
		return false
	}
	c.logBehind(now)
	return true
}

// lag returns how long a version has been known of that is newer than what is in
// force. The lock is held.
func (c *configuration) lag(now time.Time) time.Duration {
	if c.announced <= c.newest.Version {
		return 0
	}
	return now.Sub(c.behindSince)
}

// logBehind tells, once for each time it falls behind, what keeps this daemon from
// the newest version. The lock is held.
func (c *configuration) logBehind(now time.Time) {
	if c.behindLogged {
		return
	}
	c.behindLogged = true
	c.node.logFor("configuration").WithFields(map[string]any{
		"version": c.announced, "in_force": c.newest.Version, "known_ms": c.lag(now).Milliseconds(),
		"store_lost": c.store.Lost(), "store_age_ms": c.store.Age().Milliseconds(),
	}).Warn("newer version not in force")
}

// Lag returns for how long a newer version has been known of and isn't in force.
func (c *configuration) Lag() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag(time.Now())
}

// noteHubRevision takes a hub's word that there is nothing newer than a version up to a
// revision of the store.
func (c *configuration) noteHubRevision(version, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest.Version >= version {
		c.hubRevision = max(c.hubRevision, revision)
	}
}

// upTo returns the store's revision up to which this daemon knows all versions,
// 0 where it has none. A watch from here has only changes, a list is a megabyte.
func (c *configuration) upTo() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest.Version == 0 {
		return 0
	}
	return max(c.hubRevision, c.store.Revision())
}
