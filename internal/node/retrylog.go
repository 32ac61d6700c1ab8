package node

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
)

// retryLines bounds the lines a second about services whose retries are refused.
const retryLines = 8

// retryLog logs, each second, the services whose retry budget refused retries, and what it
// allowed meanwhile.
type retryLog struct {
	node   *Node
	logged map[string]retry.Totals // as of the last update
}

func newRetryLog(n *Node) *retryLog { return &retryLog{node: n, logged: map[string]retry.Totals{}} }

func (l *retryLog) run(ctx context.Context) {
	pause.Every(ctx, time.Second, func() { l.update(l.node.state.Retries(time.Now())) })
}

func (l *retryLog) update(all map[string]retry.Status) {
	lines := 0
	for service, s := range all {
		last := l.logged[service]
		l.logged[service] = s.Totals
		if s.Refused == last.Refused || lines == retryLines {
			continue
		}
		lines++
		l.node.logFor("retries").WithFields(logrus.Fields{
			"service": service, "refused": s.Refused - last.Refused, "sent": s.Retries - last.Retries,
			"requests": s.Requests - last.Requests, "left": s.Left, "daemons": s.Daemons, "complete": s.Complete,
		}).Warn("retries refused")
	}
}

// writeRetries writes the metrics of the retry budgets.
func (n *Node) writeRetries(w io.Writer) {
	for service, s := range n.state.Retries(time.Now()) {
		fmt.Fprintf(w, "cyclamenbeam_retries_left{service=%q} %g\n", service, s.Left)
		fmt.Fprintf(w, "cyclamenbeam_retries_total{service=%q,result=\"sent\"} %d\n", service, s.Retries)
		fmt.Fprintf(w, "cyclamenbeam_retries_total{service=%q,result=\"refused\"} %d\n", service, s.Refused)
		fmt.Fprintf(w, "cyclamenbeam_retry_daemons{service=%q} %d\n", service, s.Daemons)
	}
}
