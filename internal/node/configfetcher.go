package node

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// offer is a daemon's report that it has a version.
type offer struct {
	address string
	version uint64
}

// offerRing bounds the offers that wait: each is repeated with the next report, so
// that the oldest may be dropped.
const offerRing = 64

// configFetcher fetches newer configurations from other daemons. One goroutine owns
// the spread.Fetcher, which chooses what is fetched from whom.
type configFetcher struct {
	node   *Node
	offers *ring.Ring[offer]
	fetch  *spread.Fetcher
}

func newConfigFetcher(n *Node) *configFetcher {
	return &configFetcher{node: n, offers: ring.New[offer]("offers", offerRing), fetch: spread.NewFetcher()}
}

// offered notes which version the daemon at an address has.
func (f *configFetcher) offered(address string, version uint64) {
	if version > f.node.config.current().Version {
		f.node.config.noteVersion(time.Now(), version, address)
		f.offers.Push(offer{address, version})
	}
}

// offeredBy notes which version a daemon has that is given by its ID.
func (f *configFetcher) offeredBy(id fleet.DaemonID, version uint64) {
	if version <= f.node.config.current().Version {
		return
	}
	for _, m := range f.node.members.serving() {
		if m.Daemon == id {
			f.offered(m.Peer, version)
		}
	}
}

func (f *configFetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-f.offers.C():
			f.fetch.Offered(o.address, o.version)
			f.round(ctx)
		}
	}
}

// round fetches until no newer version is reported.
func (f *configFetcher) round(ctx context.Context) {
	for ctx.Err() == nil {
		f.fetch.Applied(f.node.config.current().Version)
		address, want, ok := f.fetch.Next()
		if !ok {
			break
		}
		f.step(ctx, address, want)
	}
	f.node.peers.client.CloseFetches()
}

// step fetches one piece.
func (f *configFetcher) step(ctx context.Context, address string, want spread.Want) {
	piece, err := f.node.peers.client.Fetch(ctx, address, want)
	f.node.metrics.fetched(len(piece.Data), err)
	if err != nil {
		f.fetch.Failed(address)
		f.node.logFor("configuration").WithError(err).WithFields(map[string]any{
			"address": address, "version": want.Version, "offset": want.Offset,
		}).Warn("piece not fetched")
		return
	}
	if done, complete := f.fetch.Received(address, piece); complete {
		f.apply(done)
	}
}

// apply decodes a fetched text, which may be a patch, and puts it in force.
func (f *configFetcher) apply(done spread.Piece) {
	base := f.node.config.current()
	if done.Base != 0 && done.Base != base.Version {
		return // a newer version came from the store first; a still newer one is fetched next
	}
	if done.Base == 0 {
		base = spread.Text{}
	}
	log := f.node.logFor("configuration").WithFields(map[string]any{
		"version": done.Version, "base": done.Base, "bytes": done.Size,
	})
	text, err := spread.Apply(base.Bytes, done.Data)
	if err == nil {
		log.Info("fetched")
		err = f.node.config.apply(text, "peer")
	}
	if err == nil && f.node.config.current().Version < done.Version {
		err = Error.New("fetched text has another version than its piece")
	}
	if err != nil {
		log.WithError(err).Warn("fetched configuration not usable")
		f.fetch.Unusable(done.Version)
	}
}
