package load

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// Options are the settings of a run. Zero values stand for the defaults where
// the field names one.
type Options struct {
	Name   string // of the run, in results
	Policy string // of the deployment, in results
	Target Target

	// Mix names a built-in mix or a YAML file; the default is taller-vivo.
	Mix string
	// Model, Adapter and Service replace those of the mix if they are not empty.
	Model, Adapter, Service string
	// Workspaces send the requests; at least one.
	Workspaces []workload.Workspace

	// Rate is requests per second of all workspaces; 0 stands for Load times
	// Capacity.
	Rate     float64
	Load     float64 // fraction of Capacity
	Capacity float64 // stated capacity of the deployment, requests per second

	Duration time.Duration // of the schedule; default 30 s
	Drain    time.Duration // longest wait for answers after it; default 30 s
	Requests int           // maximum in the schedule; default 100,000
	InFlight int           // maximum of concurrent requests; default 4,096
	Seed     uint64

	// TargetScale multiplies the latency targets and the pauses between turns of
	// conversations, for stand-ins that are faster or slower than real engines;
	// default 1.
	TargetScale float64
	// TokenScale multiplies the lengths of prompts and answers; default 1.
	TokenScale float64
	// Bursts is nil for workload.DefaultBursts.
	Bursts *workload.Bursts

	// HourPrice is the price of all engines per hour, for targets without an
	// instance list.
	HourPrice float64
	// Answers holds the answers of earlier runs, to compare texts with; nil: texts
	// are compared within the run only.
	Answers *AnswerBook
	Faults  []Fault
	// Caller sets timeouts, retries and the transport. Its Seeds are replaced
	// by the target's entries.
	Caller caller.Options
}

// Defaults.
const (
	defaultDuration = 30 * time.Second
	defaultDrain    = 30 * time.Second
	defaultRequests = 100_000
	defaultInFlight = 4096
)

// withDefaults returns the options with every default set, or an error if they
// are not valid.
func (o Options) withDefaults() (Options, error) {
	o.Mix = orElse(o.Mix, workload.TallerVivo)
	o.Duration = orElse(o.Duration, defaultDuration)
	o.Drain = orElse(o.Drain, defaultDrain)
	o.Requests = orElse(o.Requests, defaultRequests)
	o.InFlight = orElse(o.InFlight, defaultInFlight)
	o.TargetScale = orElse(o.TargetScale, 1)
	o.TokenScale = orElse(o.TokenScale, 1)
	o.Rate = orElse(o.Rate, o.Load*o.Capacity)
	if o.Bursts == nil {
		b := workload.DefaultBursts()
		o.Bursts = &b
	}
	if o.Answers == nil {
		o.Answers = NewAnswerBook()
	}
	o.Caller.Seeds = o.Target.Entries
	return o, o.check()
}

func (o *Options) check() error {
	switch {
	case len(o.Target.Entries) == 0:
		return Error.New("no entry address")
	case len(o.Workspaces) == 0:
		return Error.New("no workspace")
	case o.Rate <= 0:
		return Error.New("the rate must be above 0: set it, or load and capacity")
	case o.Duration < 0 || o.Drain < 0 || o.Requests < 0 || o.InFlight < 0:
		return Error.New("durations and caps must be above 0")
	case o.TargetScale < 0 || o.TokenScale < 0:
		return Error.New("scales must be above 0")
	}
	return nil
}

// plan returns the plan of the schedule.
func (o *Options) plan() (*workload.Plan, error) {
	mix, err := workload.FindMix(o.Mix)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	mix = mix.Scaled(o.TokenScale)
	mix.Model = orElse(o.Model, mix.Model)
	mix.Adapter = orElse(o.Adapter, mix.Adapter)
	mix.UseService(o.Service)
	return &workload.Plan{
		Mix: mix, Workspaces: o.Workspaces, Rate: o.Rate, Duration: o.Duration,
		Requests: o.Requests, Seed: o.Seed, Bursts: *o.Bursts, LatencyScale: o.TargetScale,
	}, nil
}

// orElse returns v, or other if v is zero.
func orElse[T comparable](v, other T) T {
	var zero T
	if v == zero {
		return other
	}
	return v
}
