package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/platform"
)

// listingDuty reads the instance list.
type listingDuty struct {
	instances platform.Instances
	interval  time.Duration
	onList    func(listapi.List)
	log       *logrus.Entry
}

// run reads the list until ctx ends. What was read last stays in force while
// the list is away: endpoints that vanish meanwhile are found by failed calls.
func (d *listingDuty) run(ctx context.Context) {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	failing := false
	for {
		list, err := d.instances.List(ctx)
		switch {
		case err == nil:
			if failing {
				d.log.Info("instance list is back")
			}
			failing = false
			d.onList(list)
		case ctx.Err() == nil && !failing:
			failing = true
			d.log.WithError(err).Warn("instance list not read; going on with the last one")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// leavingEndpoints returns the endpoints that a list marks as leaving.
func leavingEndpoints(list listapi.List) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range list.Endpoints {
		if e.State == fleet.Leaving {
			out = append(out, e)
		}
	}
	return out
}
