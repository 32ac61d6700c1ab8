package daemon

import (
	"fmt"
	"time"
)

// Names of the metrics of what control costs. The time of the duties routing,
// directory and ledger holds what they do for requests as well, and the bytes
// between daemons hold answers that callers read through another entry.
const (
	controlCPU   = "cyclamenbeam_control_cpu_seconds_total"
	controlBytes = "cyclamenbeam_control_bytes_total"
)

// measureControl adds the metrics of what each duty costs and holds, so that
// operators can compare a daemon with docs/CAPACITY.md.
func (d *Daemon) measureControl() {
	d.controlTime("routing", d.routing.busy.seconds)
	d.controlTime("ledger", d.ledger.busy.seconds)
	d.controlTime("configuration", d.configuration.busy.seconds)
	d.controlTime("directory", d.locator.busy.seconds)
	d.controlTime("sharing", d.sharing.busy.seconds)
	d.controlTime("reclaim", d.reclaim.busy.seconds)
	d.controlTime("leases", d.leasing.busy.seconds)
	d.controlTime("pools", d.pools.busy.seconds)
	d.controlTime("list", d.listBusy.seconds)
	d.controlTraffic("peers", &d.peerBytes)
	d.controlTraffic("observing", &d.observing.bytes)
	d.controlFlow("list", "in", d.listBytes.in.Load)
	d.metrics.gauge("cyclamenbeam_template_version", func() float64 { return float64(d.configuration.lag.version()) })
	d.metrics.gauge("cyclamenbeam_template_lag_seconds", func() float64 { return d.configuration.lag.lag(time.Now()).Seconds() })
	d.metrics.gauge("cyclamenbeam_directory_entries", func() float64 { return float64(d.locator.entries.Load()) })
	d.metrics.gauge("cyclamenbeam_daemons_known", func() float64 { return float64(len(d.roster.view.Load().all)) })
	d.metrics.gauge("cyclamenbeam_endpoints_listed", func() float64 { return float64(len(d.routing.current.Load().list)) })
}

// measureMembership adds the metrics of the membership, which exists from
// Start on.
func (d *Daemon) measureMembership() {
	node := d.membership.node
	d.controlTime("membership", func() float64 { return node.Stats().Busy.Seconds() })
	d.controlFlow("membership", "in", func() uint64 { return node.Stats().BytesIn })
	d.controlFlow("membership", "out", func() uint64 { return node.Stats().BytesOut })
}

// measureLeases adds the metric of which duties' leases this daemon holds. The
// leases must have been started.
func (d *Daemon) measureLeases(duties ...string) {
	for _, duty := range duties {
		name := fmt.Sprintf("cyclamenbeam_leases_held{duty=%q}", duty)
		d.metrics.gauge(name, func() float64 { return float64(len(d.leasing.held(duty))) })
	}
}

func (d *Daemon) controlTime(duty string, seconds func() float64) {
	d.metrics.gauge(fmt.Sprintf("%s{duty=%q}", controlCPU, duty), seconds)
}

func (d *Daemon) controlTraffic(duty string, b *byteCount) {
	d.controlFlow(duty, "in", b.in.Load)
	d.controlFlow(duty, "out", b.out.Load)
}

func (d *Daemon) controlFlow(duty, direction string, bytes func() uint64) {
	name := fmt.Sprintf("%s{duty=%q,direction=%q}", controlBytes, duty, direction)
	d.metrics.gauge(name, func() float64 { return float64(bytes()) })
}
