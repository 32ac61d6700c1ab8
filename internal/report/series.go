package report

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/plot"
)

// reading is one daemon's value of a metric at one time.
type reading struct {
	daemon   string
	at       time.Time
	value    float64            // sum over all labels
	byLabels map[string]float64 // value by labels
}

// readings returns the readings of one metric in chronological order.
func readings(samples []Sample, metric string) []reading {
	var all []reading
	for _, s := range samples {
		r := reading{daemon: s.Daemon, at: s.At, byLabels: map[string]float64{}}
		for _, v := range s.Values {
			if v.Metric == metric {
				r.value += v.Value
				r.byLabels[v.Labels] += v.Value
			}
		}
		if len(r.byLabels) > 0 {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b reading) int { return a.at.Compare(b.at) })
	return all
}

// chart returns the panel's chart, or false if no sample has its metric.
func (p *Panel) chart(samples []Sample) (*plot.Chart, bool) {
	all := readings(samples, p.Metric)
	if len(all) == 0 {
		return nil, false
	}
	c := &plot.Chart{Title: p.Title, Subtitle: p.Metric, XLabel: "time since the first sample, s", YLabel: p.Unit, Marks: p.Limits}
	scale := p.Scale
	if scale == 0 {
		scale = 1
	}
	t := p.transformer()
	for _, r := range all {
		v, ok := t.apply(r)
		if !ok {
			continue
		}
		s := findSeries(c, r.daemon)
		s.Points = append(s.Points, plot.Point{X: r.at.Sub(all[0].at).Seconds(), Y: v * scale})
	}
	return c, true
}

// findSeries returns the chart's series of that name, and adds it if there is none.
func findSeries(c *plot.Chart, name string) *plot.Series {
	i := slices.IndexFunc(c.Series, func(s plot.Series) bool { return s.Name == name })
	if i < 0 {
		i = len(c.Series)
		c.Series = append(c.Series, plot.Series{Name: name})
	}
	return &c.Series[i]
}

// transformer computes the values that a panel draws from readings in
// chronological order.
type transformer interface {
	// apply returns the value to draw, or false to draw none.
	apply(r reading) (float64, bool)
}

func (p *Panel) transformer() transformer {
	switch p.Transform {
	case Rate:
		return &rateTransformer{last: map[string]reading{}}
	case Lag:
		return &lagTransformer{newest: map[string]float64{}}
	default:
		return plainTransformer{}
	}
}

type plainTransformer struct{}

func (plainTransformer) apply(r reading) (float64, bool) { return r.value, true }

// rateTransformer computes a counter's increase per second. A counter that fell was
// reset by a restart and has counted from zero.
type rateTransformer struct{ last map[string]reading }

func (t *rateTransformer) apply(r reading) (float64, bool) {
	before, ok := t.last[r.daemon]
	t.last[r.daemon] = r
	seconds := r.at.Sub(before.at).Seconds()
	if !ok || seconds <= 0 {
		return 0, false
	}
	if r.value < before.value {
		return r.value / seconds, true
	}
	return (r.value - before.value) / seconds, true
}

// lagTransformer computes how far a daemon's values are below the highest seen so
// far, summed over the labels.
type lagTransformer struct{ newest map[string]float64 }

func (t *lagTransformer) apply(r reading) (float64, bool) {
	lag := 0.0
	for labels, v := range r.byLabels {
		t.newest[labels] = max(t.newest[labels], v)
	}
	for labels, newest := range t.newest {
		lag += newest - r.byLabels[labels]
	}
	return lag, true
}
