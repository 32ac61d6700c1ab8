package bench

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// slots is how many requests an engine runs at once: none ever waits here.
const slots = 256

// engineLinger is how long the engine keeps a finished stream.
const engineLinger = 100 * time.Millisecond

// firstReports is how long the entry takes to know of the engine's slots, and
// so to admit many requests at once.
const firstReports = 2 * time.Second

// unlimited is the development deployment's template without limits.
func unlimited(b *testing.B) *template.Template {
	t, _, err := deployment.ReadTemplate("")
	if err != nil {
		b.Fatal(err)
	}
	t.Defaults.Limits = template.LimitsSpec{}
	return t
}

// start starts a deployment of one entry and one engine, and returns the way
// to the engine and the way through the entry.
func start(b *testing.B, interval time.Duration) (direct, entry target) {
	b.Helper()
	speed := deployment.DefaultSpeed()
	speed.TokenInterval = interval
	speed.PrefillPerSecond = 100_000_000
	speed.Linger = engineLinger
	layout, err := deployment.Make(deployment.Options{Entries: 1, Engines: 1, Services: 1, Speed: speed})
	if err != nil {
		b.Fatal(err)
	}
	layout.Standin.Engines[0].Slots = slots
	layout.Entries[0].Control.StartSpread = time.Millisecond
	t := unlimited(b)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := deployment.StartDev(context.Background(), layout, t, log, deployment.NewAnnouncer(io.Discard))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	time.Sleep(firstReports)
	direct = newTarget(layout.Standin.Engines[0].Address, "")
	entry = newTarget(layout.Entries[0].Listen.Callers, deployment.DevToken)
	return direct, entry
}
