package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// drainTick is how often a leaving daemon looks whether its time has come.
const drainTick = 50 * time.Millisecond

// Leave stops the daemon without cutting off a request: it leaves the entries'
// answer at once, serves callers that still use it for as long as they may keep the answer, hands
// long requests over and lets short ones finish. It returns an error when some had not ended by the time ctx did.
func (d *Daemon) Leave(ctx context.Context) error {
	by, ok := ctx.Deadline()
	if !ok {
		by = time.Now().Add(d.settings.Limits.RequestTimeout)
	}
	log := logging.For(d.log, logging.Daemon)
	log.WithField("successors", d.roster.others()).Info("leaving")
	d.state.leave(time.Now(), d.settings.Entries.MaxAge)
	d.membership.leave(ctx)
	d.leasing.giveUp()
	err := d.drain(ctx, by)
	d.ledger.settleAll(ctx)
	d.Close()
	if err != nil {
		log.WithError(err).Error("stopped with requests running")
		return err
	}
	log.Info("stopped")
	return nil
}

// drain waits until new requests are refused and none is left.
func (d *Daemon) drain(ctx context.Context, by time.Time) error {
	self := request.Member{Daemon: d.run, DataCentre: d.settings.DataCentre}
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for {
		if err := d.dispatcher.Leave(ctx, self, by); err != nil {
			return Error.Wrap(err)
		}
		if d.state.Refusing() && d.gateway.Idle() {
			d.dispatcher.HandOverFinished(ctx, self)
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Error.New("callers were still connected")
		}
	}
}

// closeTimeout bounds the wait for answers that are being written.
const closeTimeout = 5 * time.Second

// Close ends everything. Requests that still run are lost.
func (d *Daemon) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range d.servers {
		_ = s.Close(ctx)
	}
	d.dispatcher.Close()
	if d.membership != nil {
		_ = d.membership.node.Close()
	}
	if d.cancel != nil {
		d.cancel()
	}
	_ = d.peers.Close()
	d.platform.Close()
}
