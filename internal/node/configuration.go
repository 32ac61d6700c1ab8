package node

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// configuration keeps the newest configuration in force, from the store or from
// other daemons, whichever has it first. Versions only increase.
type configuration struct {
	node         *Node
	store        *follow.Follower
	mu           sync.Mutex
	newest       spread.Text
	first        uint64    // the first version in force here
	hubRevision  uint64    // the store's revision up to which hubs report no newer version
	announced    uint64    // the newest version that any daemon has reported
	behindSince  time.Time // when a version that isn't in force was first reported
	behindLogged bool      // the lag since behindSince is logged

	sourceMu sync.Mutex
	source   spread.Source // serves the text to other daemons
}

func newConfiguration(n *Node) *configuration {
	c := &configuration{node: n}
	c.store = follow.New(n.platform.Store, n.platform.ConfigKind, c, n.watch)
	return c
}

func (c *configuration) run(ctx context.Context) {
	c.node.watch.run(ctx, c.store, c.upTo, c.due)
}

// due reports whether this daemon should watch the configuration now. While the
// store doesn't answer, a daemon that isn't a hub watches the endpoints alone.
func (c *configuration) due() bool {
	w := c.node.watch
	if w.reliesOnHubs() && c.node.endpoints.store.Lost() {
		return c.lags(time.Now())
	}
	listed := c.store.Revision() > 0 || c.current().Version > 0 // the store may have no configuration yet
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
		_ = c.apply(o.Spec, "store") // apply logs the error; a later version may be valid
	}
}

// apply puts a text in force if its version is newer than the one in force.
func (c *configuration) apply(text []byte, source string) error {
	log := c.node.logFor("configuration").WithField("source", source)
	t, err := c.node.platform.DecodeTable(text)
	if err != nil {
		log.WithError(err).Error("not decoded")
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
	if c.first == 0 {
		c.first = t.Version
	}
	c.newest = spread.Text{Version: t.Version, Bytes: text}
	c.offer(c.newest)
	c.node.startGate.hasConfiguration()
	c.node.shareConnections()
	c.behindLogged = false
	log.WithFields(map[string]any{"version": t.Version, "routes": len(t.Routes), "bytes": len(text)}).Info("in force")
	return nil
}

// current returns the newest configuration; Version 0 means none.
func (c *configuration) current() spread.Text {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// firstVersion returns the first version that was in force here, 0 if none was yet.
func (c *configuration) firstVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

// offer makes a version available to other daemons.
func (c *configuration) offer(t spread.Text) {
	c.sourceMu.Lock()
	defer c.sourceMu.Unlock()
	c.source.Add(t)
}

// piece answers another daemon's fetch.
func (c *configuration) piece(w spread.Want) (spread.Piece, error) {
	c.sourceMu.Lock()
	defer c.sourceMu.Unlock()
	return c.source.Answer(w)
}

// maxLag is how long a reported version may not be in force before this daemon
// reads the store itself. It covers two sources that don't answer.
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

// lags reports whether a newer version has been reported for longer than maxLag: the
// daemons that have it may be of an earlier release, from which it can't be fetched.
func (c *configuration) lags(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lag(now) <= maxLag {
		return false
	}
	c.logBehind(now)
	return true
}

// lag returns how long ago a version newer than the one in force was first reported.
// The lock is held.
func (c *configuration) lag(now time.Time) time.Duration {
	if c.announced <= c.newest.Version {
		return 0
	}
	return now.Sub(c.behindSince)
}

// logBehind logs, once for each time that this daemon falls behind, the state of its
// sources. The lock is held.
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

// Lag returns how long ago a newer version was first reported that isn't in force yet,
// 0 where there is none.
func (c *configuration) Lag() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag(time.Now())
}

// noteHubRevision notes a hub's report that up to a revision of the store there is no
// version newer than the given one.
func (c *configuration) noteHubRevision(version, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest.Version >= version {
		c.hubRevision = max(c.hubRevision, revision)
	}
}

// upTo returns the store's revision up to which this daemon has all versions, 0 where
// it has none. A watch from here returns changes alone; a list is up to a megabyte.
func (c *configuration) upTo() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeRevision()
}

// recorded returns what a record of versions states of this daemon's configuration.
func (c *configuration) recorded() origin.ConfigRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return origin.ConfigRecord{Revision: c.completeRevision(), Version: c.newest.Version}
}

// completeRevision implements upTo. The lock is held.
func (c *configuration) completeRevision() uint64 {
	if c.newest.Version == 0 {
		return 0
	}
	return max(c.hubRevision, c.store.Revision())
}
