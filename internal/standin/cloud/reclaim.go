package cloud

import (
	"context"
	"sort"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// maxNoticeWait bounds how long one call waits for notices.
const maxNoticeWait = 5 * time.Minute

// Reclaim gives notice to the named instances and to the reclaimable ones of
// the data centre; they vanish after Millis. A further notice never moves the
// end later. It returns the instances that got it.
func (c *Cloud) Reclaim(r cloudapi.Reclaim) []fleet.InstanceID {
	told := c.giveNotice(r)
	ids := make([]fleet.InstanceID, 0, len(told))
	for _, n := range told {
		if c.options.OnNotice != nil {
			c.options.OnNotice(n.id, n.at)
		}
		c.arm(n)
		ids = append(ids, n.id)
	}
	return ids
}

type ending struct {
	id fleet.InstanceID
	at time.Time
}

func (c *Cloud) giveNotice(r cloudapi.Reclaim) []ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(time.Duration(r.Millis) * time.Millisecond)
	var told []ending
	for _, id := range c.reclaimed(r) {
		m := c.bought[id]
		if m.endsAt.IsZero() || at.Before(m.endsAt) {
			m.endsAt = at
		}
		c.notices.add(cloudapi.Notice{Instance: id, AtMillis: m.endsAt.UnixMilli()})
		told = append(told, ending{id: id, at: m.endsAt})
	}
	return told
}

// reclaimed lists the instances that r names and that have not ended, by id.
func (c *Cloud) reclaimed(r cloudapi.Reclaim) []fleet.InstanceID {
	named := make(map[fleet.InstanceID]bool)
	for _, id := range r.Instances {
		named[id] = true
	}
	var ids []fleet.InstanceID
	for id, m := range c.bought {
		inCentre := r.DataCentre != "" && m.instance.DataCentre == r.DataCentre && !m.instance.OnDemand
		if !m.ended && (named[id] || inCentre) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// arm starts the timer of an instance's end. It follows the OnNotice hook, which
// an immediate end would overtake otherwise.
func (c *Cloud) arm(e ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.bought[e.id]
	if m.ended {
		return
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(time.Until(e.at), func() { c.End(e.id) })
}

// End ends an instance, and reports whether the cloud ever had it. Ending it
// again does nothing.
func (c *Cloud) End(id fleet.InstanceID) bool {
	known, ended := c.endOnce(id)
	if ended && c.options.OnGone != nil {
		c.options.OnGone(id)
	}
	return known
}

func (c *Cloud) endOnce(id fleet.InstanceID) (known, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.bought[id]
	if m == nil {
		return false, false
	}
	if m.ended {
		return true, false
	}
	m.ended = true
	if m.timer != nil {
		m.timer.Stop()
	}
	return true, true
}

// waitNotices returns the notices after since, waiting up to wait for the first.
func (c *Cloud) waitNotices(ctx context.Context, since uint64, wait time.Duration) cloudapi.Notices {
	timer := time.NewTimer(min(wait, maxNoticeWait))
	defer timer.Stop()
	for {
		page, changed := c.lookNotices(since)
		if len(page.Notices) > 0 {
			return page
		}
		select {
		case <-changed:
		case <-timer.C:
			return page
		case <-ctx.Done():
			return page
		}
	}
}

func (c *Cloud) lookNotices(since uint64) (cloudapi.Notices, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notices.after(since), c.notices.changed
}
