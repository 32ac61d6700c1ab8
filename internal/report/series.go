package report

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/plot"
)

// reading is one daemon's value of a metric at one time.
type reading struct {
	daemon string
	at     time.Time
	value  float64            // sum over all labels
	labels map[string]float64 // value by labels
}

// readings returns the readings of one metric in chronological order.
func readings(samples []Sample, metric string) []reading {
	var all []reading
	for _, s := range samples {
		r := reading{daemon: s.Daemon, at: s.At, labels: map[string]float64{}}
		for _, v := range s.Values {
			if v.Metric == metric {
				r.value += v.Value
				r.labels[v.Labels] += v.Value
			}
		}
		if len(r.labels) > 0 {
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
	w := p.reader()
	for _, r := range all {
		v, ok := w.read(r)
		if !ok {
			continue
		}
		s := lineOf(c, r.daemon)
		s.Points = append(s.Points, plot.Point{X: r.at.Sub(all[0].at).Seconds(), Y: v * scale})
	}
	return c, true
}

// lineOf returns the chart's series of that name, and adds it if there is none.
func lineOf(c *plot.Chart, name string) *plot.Series {
	i := slices.IndexFunc(c.Series, func(s plot.Series) bool { return s.Name == name })
	if i < 0 {
		i = len(c.Series)
		c.Series = append(c.Series, plot.Series{Name: name})
	}
	return &c.Series[i]
}

// reader computes the values that a panel draws from readings in chronological
// order.
type reader interface {
	// read returns the value to draw, or false to draw none.
	read(r reading) (float64, bool)
}

func (p *Panel) reader() reader {
	switch p.Reading {
	case Rate:
		return &rateReader{last: map[string]reading{}}
	case Behind:
		return &behindReader{newest: map[string]float64{}}
	default:
		return plainReader{}
	}
}

type plainReader struct{}

func (plainReader) read(r reading) (float64, bool) { return r.value, true }

// rateReader computes a counter's increase per second. A counter that fell was
// reset by a restart and has counted from zero.
type rateReader struct{ last map[string]reading }

func (w *rateReader) read(r reading) (float64, bool) {
	before, ok := w.last[r.daemon]
	w.last[r.daemon] = r
	seconds := r.at.Sub(before.at).Seconds()
	if !ok || seconds <= 0 {
		return 0, false
	}
	if r.value < before.value {
		return r.value / seconds, true
	}
	return (r.value - before.value) / seconds, true
}

// behindReader computes how far a daemon's values are below the highest seen so
// far, summed over the labels.
type behindReader struct{ newest map[string]float64 }

func (w *behindReader) read(r reading) (float64, bool) {
	behind := 0.0
	for labels, v := range r.labels {
		w.newest[labels] = max(w.newest[labels], v)
	}
	for labels, newest := range w.newest {
		behind += newest - r.labels[labels]
	}
	return behind, true
}
