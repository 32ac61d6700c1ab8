package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
)

const (
	// noticeWait is how long the cloud API holds a question without notices.
	noticeWait = 30 * time.Second
	// noticePause follows a failed one.
	noticePause = 2 * time.Second
	// leaveMargin is kept between the end of the hand-over and the instance's.
	leaveMargin = time.Second
)

// watchNotices follows the cloud's notices: they come earlier than the
// instance list, which lags, shows the same.
func (d *Daemon) watchNotices(ctx context.Context) {
	since := uint64(0)
	for ctx.Err() == nil {
		n, err := d.platform.Cloud.Notices(ctx, since, noticeWait)
		d.noticesAway.Store(err != nil)
		if err != nil {
			select {
			case <-time.After(noticePause):
			case <-ctx.Done():
			}
			continue
		}
		since = n.Next
		for _, notice := range n.Notices {
			d.onNotice(notice)
		}
	}
}

func (d *Daemon) onNotice(n cloudapi.Notice) {
	at := time.UnixMilli(n.AtMillis)
	if at.Before(time.Now()) {
		return // an old one, from before this daemon started
	}
	if n.Instance == d.settings.Instance {
		d.leaveBy(at.Add(-leaveMargin))
		return
	}
	for _, e := range d.routing.current.Load().list {
		if e.Instance == n.Instance {
			e.LeaveAt = n.AtMillis
			d.noticed(e)
		}
	}
}

// leaveBy starts to leave because this instance is under notice, or brings the
// end forward.
func (d *Daemon) leaveBy(at time.Time) {
	logging.For(d.log, logging.Daemon).WithField("until", at.Format(time.RFC3339)).Warn("this instance is under notice")
	d.dispatcher.LeaveBy(at)
	select {
	case d.noticedAt <- at:
	default:
	}
}

// Noticed is sent the time by which this instance must be gone, once.
func (d *Daemon) Noticed() <-chan time.Time { return d.noticedAt }
