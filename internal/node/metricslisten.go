package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// metricsTimeout bounds a request for the metrics.
const metricsTimeout = 5 * time.Second

// serveMetrics answers GET /metrics until the context ends.
func (n *Node) serveMetrics(ctx context.Context) error {
	address := n.settings.Listen.Metrics
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.Metrics(w) })
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: metricsTimeout, WriteTimeout: metricsTimeout}
	n.wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.logFor("daemon").WithError(err).Error("metrics listener ended")
		}
	})
	n.wg.Go(func() {
		<-ctx.Done()
		if err := srv.Close(); err != nil {
			n.logFor("daemon").WithError(err).Debug("metrics listener not closed")
		}
	})
	return nil
}
