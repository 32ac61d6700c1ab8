package report

import (
	"html/template"
	"io"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/plot"
)

// Input is the content of a page. Results and Samples may be empty.
type Input struct {
	Title   string
	Results []*load.Result
	Samples []Sample
	// Panels are drawn from the samples; nil stands for DefaultPanels.
	Panels []Panel
}

// page is the data of the page's template.
type page struct {
	Title      string
	Runs       int
	Settings   *load.Settings // of the first result
	Targets    *load.Targets
	GoVersion  string
	StartedAt  string
	Results    *load.Table
	Workspaces *load.Table
	Broken     []brokenRun
	// OrdersChecked is whether the executions of orders could be read from the
	// services in every run.
	OrdersChecked bool
	Comparison    *load.Comparison
	Charts        []template.HTML
	Timelines     []template.HTML
	Panels        []template.HTML
	Absent        []string // metrics that no sample has
}

// brokenRun is a run whose checks failed.
type brokenRun struct {
	Name   string
	Checks load.Checks
}

// Write writes the page.
func Write(w io.Writer, in Input) error {
	p := &page{Title: in.Title}
	if p.Title == "" {
		p.Title = "cyclamenbeam: load and control"
	}
	if err := p.addResults(in.Results); err != nil {
		return err
	}
	if err := p.addPanels(in); err != nil {
		return err
	}
	return Error.Wrap(pageTemplate.Execute(w, p))
}

func (p *page) addResults(results []*load.Result) error {
	p.Runs = len(results)
	if len(results) == 0 {
		return nil
	}
	first := results[0]
	p.Settings, p.Targets, p.GoVersion = &first.Settings, &first.Targets, first.GoVersion
	p.StartedAt = first.StartedAt.Format(time.RFC3339)
	p.Results = load.ResultsTable(results)
	p.Workspaces = load.WorkspacesTable(results)
	p.OrdersChecked = true
	for _, r := range results {
		p.OrdersChecked = p.OrdersChecked && r.Checks.Orders.Checked
		if r.Checks.Violations() > 0 {
			p.Broken = append(p.Broken, brokenRun{Name: r.Name + " " + r.Policy, Checks: r.Checks})
		}
	}
	if len(results) == 2 {
		c, err := load.Compare(results...)
		if err != nil {
			return Error.Wrap(err)
		}
		p.Comparison = c
	}
	return p.addCharts(results)
}

func (p *page) addCharts(results []*load.Result) error {
	for _, c := range []*plot.Chart{
		load.LatencyChart(results), load.GoodputChart(results), load.CostChart(results), load.RecomputedChart(results),
	} {
		if err := draw(&p.Charts, c); err != nil {
			return err
		}
	}
	for _, r := range results {
		if len(r.Faults) == 0 && len(results) > 1 {
			continue
		}
		if err := draw(&p.Timelines, load.TimelineChart(r)); err != nil {
			return err
		}
	}
	return nil
}

func (p *page) addPanels(in Input) error {
	panels := in.Panels
	if panels == nil {
		panels = DefaultPanels()
	}
	if len(in.Samples) == 0 {
		return nil
	}
	for i := range panels {
		c, ok := panels[i].chart(in.Samples)
		if !ok {
			p.Absent = append(p.Absent, panels[i].Metric)
			continue
		}
		if err := draw(&p.Panels, c); err != nil {
			return err
		}
	}
	return nil
}

// draw appends a chart as SVG, in which names are escaped.
func draw(to *[]template.HTML, c *plot.Chart) error {
	svg, err := c.SVG()
	if err != nil {
		return Error.Wrap(err)
	}
	*to = append(*to, template.HTML(svg))
	return nil
}
