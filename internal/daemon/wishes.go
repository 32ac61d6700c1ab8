package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/drain"
)

// wishesPause is the time between two tries to read the operators' wishes. The
// circuit breaker keeps most of them from a store that is down.
const wishesPause = time.Second

// followFromNow starts the watch of a daemon that has its templates from a
// peer, and reads the wishes about endpoints, which peers don't pass on.
//
// A peer's answer delays the daemon's own list by minutes, in a large fleet by hours. If only a
// list started the watch, an engine that an operator drained would get work from this daemon
// all that time, and changes of templates would arrive seconds late. The watch continues from
// the store's current version; a template changed just before is found by the peers' digests.
func (d *configurationDuty) followFromNow(now time.Time, s *configurationState) {
	if d.listed.Load() || d.since.Load() != 0 || !s.store.Ready() || now.Before(d.wishesNext) {
		return
	}
	d.wishesNext = now.Add(wishesPause)
	go d.listWishes()
}

func (d *configurationDuty) listWishes() {
	ctx, cancel := context.WithTimeout(d.ctx, listLimit)
	defer cancel()
	wishes, err := d.objects.List(ctx, drain.Kind, "")
	if err != nil {
		d.log.Debugf("wishes about endpoints not listed: %v", err)
		return
	}
	d.onObjects(wishes.Objects)
	d.since.CompareAndSwap(0, max(wishes.Version, 1))
}
