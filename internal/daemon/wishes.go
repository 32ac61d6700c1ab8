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
// Failure: the peer's answer puts the daemon's own list off for minutes, up to
// hours in a large fleet, and only a list used to start the watch. Symptom: an
// engine that an operator drained gets work from this daemon all that time, and
// changes of templates come seconds late. The watch goes on from the store's
// version now; a template changed just before is found by the peers' digests.
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
