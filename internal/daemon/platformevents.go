package daemon

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// onObjects takes changes of the kinds that are not templates.
func (d *Daemon) onObjects(objects []objectapi.Object) {
	if !d.drains.apply(objects) {
		return
	}
	if list := d.listed.Load(); list != nil {
		d.routing.setEndpoints(d.drains.mark(list.Endpoints))
	}
}

// onList takes a new answer of the instance list.
func (d *Daemon) onList(list listapi.List) {
	defer d.listBusy.since(time.Now())
	d.listed.Store(&list)
	if len(list.Entries) > 0 {
		d.state.listed.Store(true) // an empty list is of a platform that has just started
	}
	d.routing.setEndpoints(d.drains.mark(list.Endpoints))
	for _, e := range leavingEndpoints(list) {
		d.noticed(e)
	}
	if !d.membership.node.View().Joined() {
		d.roster.setList(list.Entries)
	}
	d.membership.seeds(list.Entries)
	// The list's count, not the membership's: parts of a fleet that lost each
	// other still share one platform.
	d.platform.SetFleetSize(max(1, len(list.Entries)))
	d.observing.forget(d.routing.current.Load().byID)
}

// noticed acts on an endpoint that leaves: routing sends it nothing more, and
// this daemon's streams on it are moved in time.
func (d *Daemon) noticed(e fleet.Endpoint) {
	at := time.Time{}
	if e.LeaveAt > 0 {
		at = time.UnixMilli(e.LeaveAt)
	}
	d.routing.notice(e.ID, at)
	d.dispatcher.Notice(e.ID, at)
	d.reclaim.notice(e, at)
}
