package deployment

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/daemon"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// Dev is a whole deployment in one process.
type Dev struct {
	standins *Standins
	daemons  []*daemon.Daemon
}

// readyTimeout bounds the start of a deployment.
const readyTimeout = 30 * time.Second

// StartDev starts the stand-ins and the daemons of a layout and returns once
// callers are served.
func StartDev(ctx context.Context, l *Layout, t *template.Template, log *logrus.Logger, a *Announcer) (*Dev, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	stand, err := StartStandins(ctx, l.Standin, t, logging.For(log, logging.Standin), a)
	if err != nil {
		return nil, err
	}
	d := &Dev{standins: stand}
	for _, s := range l.Entries {
		if err := d.startDaemon(s, log); err != nil {
			d.Close()
			return nil, err
		}
	}
	for i, e := range d.daemons {
		if err := e.Ready(ctx); err != nil {
			d.Close()
			return nil, err
		}
		a.Ready(RoleEntry, l.Entries[i].Listen.Callers)
		a.Ready(RoleOperator, l.Entries[i].Listen.Operators)
	}
	return d, nil
}

func (d *Dev) startDaemon(s settings.Settings, log *logrus.Logger) error {
	e, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, e)
	return e.Start()
}

// Leave lets every daemon finish its requests, all at once: there is nobody to
// hand over to.
func (d *Dev) Leave(ctx context.Context) error {
	var g errgroup.Group
	for _, e := range d.daemons {
		g.Go(func() error { return e.Leave(ctx) })
	}
	err := g.Wait()
	d.standins.Close()
	return err
}

// Reclaim gives notice to instances.
func (d *Dev) Reclaim(r cloudapi.Reclaim) { d.standins.cloud.Reclaim(r) }

// Close ends everything at once.
func (d *Dev) Close() {
	for _, e := range d.daemons {
		e.Close()
	}
	d.standins.Close()
}
