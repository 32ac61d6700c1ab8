package report

import "github.com/cyclamenbeam/cyclamenbeam/internal/load/plot"

// Transform is how a panel computes the values that it draws from a metric's.
type Transform string

// The transforms.
const (
	Plain Transform = "plain"  // the value
	Rate  Transform = "rate"   // its increase a second, for counters
	Lag   Transform = "behind" // how far it is below the highest value seen so far on any daemon
)

// Panel is one chart over time with a line for each daemon. A daemon's values of
// the metric with different labels are summed.
type Panel struct {
	Title     string
	Metric    string
	Transform Transform
	Unit      string
	Scale     float64     // multiplies the values; 0 stands for 1
	Limits    []plot.Mark // drawn as horizontal lines
}

// Budgets for a daemon's control work and traffic, set by the users.
const (
	budgetCorePercent        = 3.3
	budgetMegabytes          = 32
	budgetKilobytesPerSecond = 7 // a second
	budgetLagSeconds         = 15
)

// Names of the daemon's metrics that the default panels draw.
const (
	VersionMetric      = "cyclamenbeam_template_version"
	LagMetric          = "cyclamenbeam_template_lag_seconds"
	ControlCPUMetric   = "cyclamenbeam_control_cpu_seconds_total"
	ControlBytesMetric = "cyclamenbeam_control_bytes_total"
	MemoryMetric       = "process_resident_memory_bytes"
	CallsMetric        = "cyclamenbeam_platform_calls_total"
)

// DefaultPanels returns the panels of the configuration's lag and of the cost of
// control, with the budgets as limits.
func DefaultPanels() []Panel {
	limit := func(v float64) []plot.Mark { return []plot.Mark{{Y: v, Name: "budget"}} }
	return []Panel{
		{Title: "Configuration: versions behind the newest", Metric: VersionMetric, Transform: Lag, Unit: "versions, all templates"},
		{Title: "Configuration: age of what is not yet in force", Metric: LagMetric, Transform: Plain, Unit: "s", Limits: limit(budgetLagSeconds)},
		{Title: "Processor time for control", Metric: ControlCPUMetric, Transform: Rate, Unit: "% of a core", Scale: 100, Limits: limit(budgetCorePercent)},
		{Title: "Bytes for control", Metric: ControlBytesMetric, Transform: Rate, Unit: "KB a second", Scale: 1e-3, Limits: limit(budgetKilobytesPerSecond)},
		{Title: "Resident memory", Metric: MemoryMetric, Transform: Plain, Unit: "MB", Scale: 1e-6, Limits: limit(budgetMegabytes)},
		{Title: "Calls of the platform", Metric: CallsMetric, Transform: Rate, Unit: "calls a second"},
	}
}
