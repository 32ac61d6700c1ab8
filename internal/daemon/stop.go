package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
)

// drainTick is how often a leaving daemon looks whether its requests ended.
const drainTick = 50 * time.Millisecond

// Leave stops the daemon without cutting off a request: it leaves the entries'
// answer at once, serves callers that still remember it for as long as they
// were told to keep the answer, and ends when its requests have. It returns an
// error when some had not by the time ctx ends.
func (d *Daemon) Leave(ctx context.Context) error {
	log := logging.For(d.log, logging.Daemon)
	log.Info("leaving")
	d.state.leave(time.Now(), d.settings.Entries.MaxAge)
	err := d.drain(ctx)
	d.Close()
	if err != nil {
		log.WithError(err).Error("stopped with requests running")
		return err
	}
	log.Info("stopped")
	return nil
}

// drain waits until new requests are refused and the running ones have ended.
func (d *Daemon) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for !d.state.Refusing() || d.dispatcher.Live() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Error.New("%d requests were still running", d.dispatcher.Live())
		}
	}
	return nil
}

// closeTimeout bounds the wait for answers that are being written.
const closeTimeout = 5 * time.Second

// Close ends everything. Requests that still run are lost.
func (d *Daemon) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range d.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	d.dispatcher.Close()
	if d.cancel != nil {
		d.cancel()
	}
	_ = d.peers.Close()
	d.platform.Close()
}
