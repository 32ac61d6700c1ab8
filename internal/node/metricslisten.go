package node

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
)

const (
	// metricsTimeout bounds the writing of the metrics.
	metricsTimeout = 5 * time.Second
	// maxMetricsHeadBytes bounds the head of a request for them.
	maxMetricsHeadBytes = 16 << 10
)

// serveMetrics answers GET /metrics until the context ends.
func (n *Node) serveMetrics(ctx context.Context) error {
	address := n.settings.Listen.Metrics
	if address == "" {
		return nil
	}
	l, err := httpserver.Listen(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.Metrics(w) })
	srv := n.guard.Start(&http.Server{
		Handler: mux, WriteTimeout: metricsTimeout, MaxHeaderBytes: maxMetricsHeadBytes,
		ErrorLog: log.New(io.Discard, "", 0), // only broken connections
	}, l, "metrics", n.settings.places(metricsPart), n.logFor("daemon"))
	n.wg.Go(func() {
		<-ctx.Done()
		if err := srv.Close(ctx); err != nil {
			n.logFor("daemon").WithError(err).Debug("metrics listener not closed")
		}
	})
	return nil
}
