package node

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// offer is a daemon's word that it has a version.
type offer struct {
	address string
	version uint64
}

// offerRing bounds the offers that wait for the duty: each is repeated with the
// next report, so that the oldest may go.
const offerRing = 64

// fetching brings newer configurations from other daemons. One goroutine owns
// the decision.
type fetching struct {
	node   *Node
	offers *ring.Ring[offer]
	fetch  *spread.Fetcher
}

func newFetching(n *Node) *fetching {
	return &fetching{node: n, offers: ring.New[offer]("offers", offerRing), fetch: spread.NewFetcher()}
}

// heard notes which version another daemon has.
func (f *fetching) heard(address string, version uint64) {
	if version > f.node.config.current().Version {
		f.node.config.knows(time.Now(), version, address)
		f.offers.Push(offer{address, version})
	}
}

// heardFrom notes which version a daemon has that is known by its name alone.
func (f *fetching) heardFrom(id fleet.DaemonID, version uint64) {
	if version <= f.node.config.current().Version {
		return
	}
	for _, m := range f.node.members.serving() {
		if m.Daemon == id {
			f.heard(m.Peer, version)
		}
	}
}

func (f *fetching) run(ctx context.Context) {
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

// round fetches until nothing newer is known of.
func (f *fetching) round(ctx context.Context) {
	for ctx.Err() == nil {
		f.fetch.Applied(f.node.config.current().Version)
		address, want, ok := f.fetch.Next()
		if !ok {
			break
		}
		f.step(ctx, address, want)
	}
	f.node.telling.client.CloseFetches()
}

// step fetches one piece.
func (f *fetching) step(ctx context.Context, address string, want spread.Want) {
	piece, err := f.node.telling.client.Fetch(ctx, address, want)
	f.node.metrics.fetched(len(piece.Data), err)
	if err != nil {
		f.fetch.Failed(address)
		f.node.say("configuration").WithError(err).WithFields(map[string]any{
			"address": address, "version": want.Version, "offset": want.Offset,
		}).Warn("piece not fetched")
		return
	}
	if done, complete := f.fetch.Received(address, piece); complete {
		f.use(done)
	}
}

// use puts in force what a patch leads to.
func (f *fetching) use(done spread.Piece) {
	base := f.node.config.current()
	if done.Base != 0 && done.Base != base.Version {
		return // the store was faster; what is newer still is fetched next
	}
	if done.Base == 0 {
		base = spread.Text{}
	}
	log := f.node.say("configuration").WithFields(map[string]any{
		"version": done.Version, "base": done.Base, "bytes": done.Size,
	})
	text, err := spread.Apply(base.Bytes, done.Data)
	if err == nil {
		log.Info("fetched")
		err = f.node.config.apply(text, "peer")
	}
	if err == nil && f.node.config.current().Version < done.Version {
		err = Error.New("the text is of another version")
	}
	if err != nil {
		log.WithError(err).Warn("fetched, can't be used")
		f.fetch.Unusable(done.Version)
	}
}
