package cloud

import "github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"

// maxNotices bounds the notices that are kept; a reader further behind misses some.
const maxNotices = 10_000

// noticeLog keeps the newest notices, oldest first.
type noticeLog struct {
	notices []cloudapi.Notice
	last    uint64        // Seq of the newest
	changed chan struct{} // closed and replaced with each notice
}

func newNoticeLog() noticeLog { return noticeLog{changed: make(chan struct{})} }

func (l *noticeLog) add(n cloudapi.Notice) {
	l.last++
	n.Seq = l.last
	l.notices = append(l.notices, n)
	if len(l.notices) > maxNotices {
		l.notices = l.notices[len(l.notices)-maxNotices:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the notices with a Seq above since.
func (l *noticeLog) after(since uint64) cloudapi.Notices {
	page := cloudapi.Notices{Notices: []cloudapi.Notice{}, Next: l.last}
	for _, n := range l.notices {
		if n.Seq > since {
			page.Notices = append(page.Notices, n)
		}
	}
	return page
}
