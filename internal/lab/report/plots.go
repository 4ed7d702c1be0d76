package report

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"knotrouter/internal/lab/experiment"
)

// metric is a value of each point of a summary. A plot draws it as a line, with name as its text in the legend.
type metric struct {
	name  string
	value func(p *experiment.Point) float64
}

// plotSpec describes one plot of a report.
type plotSpec struct {
	file, title, unit string
	metrics           []metric // metrics of the agents
	baselines         bool     // also draw the first metric of each baseline
	maxY              float64  // upper end of the Y axis; 0 means that it follows from the values
	logScale          bool     // whether the Y axis is logarithmic
}

// plotSpecs are the plots of a report, in page order.
var plotSpecs = []plotSpec{
	{file: "served.png", title: "Share of requests by outcome", unit: "share", baselines: true, maxY: 1.02, metrics: []metric{
		{"served in time", func(p *experiment.Point) float64 { return p.ServedShare }},
		{"refused", func(p *experiment.Point) float64 { return p.RejectedShare }}}},
	{file: "latency.png", title: "Latency of served requests", unit: "ms", logScale: true, metrics: []metric{
		{"p50", func(p *experiment.Point) float64 { return p.P50Ms }},
		{"p99", func(p *experiment.Point) float64 { return p.P99Ms }}}},
	{file: "attempts.png", title: "Requests asked and attempts at servers", unit: "a second", metrics: []metric{
		{"asked", func(p *experiment.Point) float64 { return float64(p.Requests) }},
		{"attempts", func(p *experiment.Point) float64 { return p.AttemptsPerSecond }}}},
	{file: "connections.png", title: "Connections to servers", unit: "count", metrics: []metric{
		{"open", func(p *experiment.Point) float64 { return float64(p.OpenConnections) }},
		{"opened a second", func(p *experiment.Point) float64 { return p.ConnectionsPerSecond }}}},
	{file: "list.png", title: "Calls for the list, and probes", unit: "a second", metrics: []metric{
		{"list calls", func(p *experiment.Point) float64 { return p.ListCallsPerSecond }},
		{"probes", func(p *experiment.Point) float64 { return p.ProbesPerSecond }}}},
	{file: "servers.png", title: "Servers that are not themselves, and agents", unit: "count", metrics: []metric{
		{"cold", func(p *experiment.Point) float64 { return float64(p.WarmingUp) }},
		{"choked", func(p *experiment.Point) float64 { return float64(p.Overloaded) }},
		{"down", func(p *experiment.Point) float64 { return float64(p.Down) }},
		{"agents up", func(p *experiment.Point) float64 { return float64(p.Agents) }}}},
}

// The size of a plot.
const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// lineColors are the colors of a plot's lines, used in turn.
var lineColors = []color.RGBA{
	{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, {R: 0xd6, G: 0x27, B: 0x28, A: 0xff}, {R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	{R: 0x94, G: 0x67, B: 0xbd, A: 0xff}, {R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}, {R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

// The colors of a fault's band, its left edge and its name.
var (
	faultBandColor  = color.NRGBA{R: 0xf2, G: 0xc0, B: 0x5a, A: 0x50}
	faultEdgeColor  = color.RGBA{R: 0xc0, G: 0x90, B: 0x20, A: 0xff}
	faultLabelColor = color.RGBA{R: 0x70, G: 0x55, B: 0x10, A: 0xff}
)

// baselineDashes are the lengths of the dashes and gaps of a baseline's line.
var baselineDashes = []vg.Length{vg.Points(4), vg.Points(2)}

// Plots draws the plots of a summary, which must have at least one fleet, into a folder. It returns the
// paths of the files; on an error, only the files drawn before the error.
func Plots(dir string, s *experiment.Summary) ([]string, error) {
	var files []string
	for i := range plotSpecs {
		spec := &plotSpecs[i]
		file := filepath.Join(dir, spec.file)
		if err := spec.draw(file, s); err != nil {
			return files, fmt.Errorf("plot %s: %w", spec.file, err)
		}
		files = append(files, file)
	}
	return files, nil
}

// draw draws the plot into a file. Faults are drawn first, so that the lines are on top of them.
func (spec *plotSpec) draw(file string, s *experiment.Summary) error {
	agents := &s.Fleets[0]
	c := spec.newChart(s, agents.Series)
	if err := c.addFaults(s.Faults); err != nil {
		return err
	}
	for _, m := range spec.metrics {
		if err := c.addLine(m.name, m, agents.Series, nil); err != nil {
			return err
		}
	}
	if spec.baselines {
		for i := range s.Fleets[1:] {
			baseline := &s.Fleets[i+1]
			if err := c.addLine(baseline.Name, spec.metrics[0], baseline.Series, baselineDashes); err != nil {
				return err
			}
		}
	}
	c.Y.Min, c.Y.Max = c.minY, c.maxY
	return c.Save(plotWidth, plotHeight, file)
}

// chart is a plot that is being drawn.
type chart struct {
	*plot.Plot
	minY, maxY float64 // range of the Y axis
	logScale   bool    // whether the Y axis is logarithmic
	lines      int     // number of addLine calls so far, which selects the next color
	faults     int     // number of fault labels drawn so far, which selects the next position
}

// newChart returns a chart for a run, with title, axes, legend and grid, but without lines.
func (spec *plotSpec) newChart(s *experiment.Summary, agents []experiment.Point) *chart {
	c := &chart{Plot: plot.New(), logScale: spec.logScale}
	c.Title.Text = fmt.Sprintf("%s: %s (seed %d)", s.Name, spec.title, s.Seed)
	c.X.Label.Text, c.Y.Label.Text = "seconds", spec.unit
	c.X.Min, c.X.Max = 0, s.DurationSeconds
	// Lines of shares are near the top and the bottom of the plot, so their legend is placed in between.
	c.Legend.Top, c.Legend.Left = spec.maxY == 0, true
	if spec.maxY > 0 {
		c.Legend.YOffs = 2 * vg.Centimeter
	}
	c.Legend.Padding = vg.Points(2)
	c.X.Tick.Marker, c.Y.Tick.Marker = shortTicks{}, shortTicks{}
	if spec.logScale {
		c.Y.Scale, c.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	c.minY, c.maxY = spec.yRange(agents)
	c.Add(plotter.NewGrid())
	return c
}

// yRange returns the lowest and the highest value of the Y axis. Unless the spec sets the upper end, it
// leaves room for the legend above the agents' lines.
func (spec *plotSpec) yRange(agents []experiment.Point) (low, high float64) {
	high = spec.maxY
	lowestPositive := math.Inf(1)
	legendFactor := 1.05 + 0.1*float64(len(spec.metrics))
	for _, m := range spec.metrics {
		for i := range agents {
			y := m.value(&agents[i])
			if spec.maxY == 0 {
				high = max(high, y*legendFactor)
			}
			if y > 0 {
				lowestPositive = min(lowestPositive, y)
			}
		}
	}
	if spec.logScale {
		low, high = min(1, lowestPositive), max(high, 10)*2
	}
	if high <= low {
		high = low + 1
	}
	return low, high
}

// shortTicks are plot.DefaultTicks with at most six significant digits in a label.
type shortTicks struct{}

// Ticks implements plot.Ticker.
func (shortTicks) Ticks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'g', 6, 64)
		}
	}
	return ticks
}

// addLine adds a line for a metric of the points in the next color. Without points it only skips the
// color. The line is solid if dashes is nil. Each point is drawn at the middle of its second.
func (c *chart) addLine(name string, m metric, points []experiment.Point, dashes []vg.Length) error {
	lineColor := lineColors[c.lines%len(lineColors)]
	c.lines++
	if len(points) == 0 {
		return nil
	}
	coordinates := make(plotter.XYs, 0, len(points))
	for i := range points {
		coordinates = append(coordinates, plotter.XY{X: points[i].AtS + 0.5, Y: max(m.value(&points[i]), c.minY)})
	}
	line, err := plotter.NewLine(coordinates)
	if err != nil {
		return err
	}
	line.Color, line.Width, line.Dashes = lineColor, vg.Points(1.6), dashes
	c.Add(line)
	c.Legend.Add(name, line)
	return nil
}

// addFaults marks the faults that were injected.
func (c *chart) addFaults(faults []experiment.InjectedFault) error {
	for i := range faults {
		if faults[i].BeganSeconds < 0 {
			continue
		}
		if err := c.addFault(&faults[i]); err != nil {
			return err
		}
	}
	return nil
}

// minFaultWidth is the minimum width of a fault's band, in seconds.
const minFaultWidth = 0.15

// addFault marks the duration of a fault with a band that has a left edge, and writes the fault's name
// beside the edge.
func (c *chart) addFault(f *experiment.InjectedFault) error {
	from, to := f.BeganSeconds, max(f.EndedSeconds, f.BeganSeconds+minFaultWidth)
	band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: c.minY}, {X: to, Y: c.minY}, {X: to, Y: c.maxY}, {X: from, Y: c.maxY}})
	if err != nil {
		return err
	}
	band.Color, band.LineStyle.Width = faultBandColor, 0
	c.Add(band)
	edge, err := plotter.NewLine(plotter.XYs{{X: from, Y: c.minY}, {X: from, Y: c.maxY}})
	if err != nil {
		return err
	}
	edge.Color, edge.Width = faultEdgeColor, vg.Points(0.8)
	c.Add(edge)
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: from, Y: c.nextFaultLabelY()}}, Labels: []string{" " + f.Name}})
	if err != nil {
		return err
	}
	labels.TextStyle[0].Color = faultLabelColor
	labels.TextStyle[0].Font.Size = vg.Points(8)
	labels.TextStyle[0].XAlign = draw.XLeft
	c.Add(labels)
	return nil
}

// The vertical positions of the faults' names, as shares of the plot's height. Each name is one line of
// text below the previous one, so that names of faults at about the same time don't overlap. After
// faultLabels names, the positions repeat from the top.
const (
	faultLabelTop  = 0.45
	faultLabelStep = 0.055
	faultLabels    = 7
)

// nextFaultLabelY returns the vertical position of the next fault's name, in units of the Y axis.
func (c *chart) nextFaultLabelY() float64 {
	share := faultLabelTop - faultLabelStep*float64(c.faults%faultLabels)
	c.faults++
	if c.logScale {
		return c.minY * math.Pow(c.maxY/c.minY, share)
	}
	return c.minY + (c.maxY-c.minY)*share
}
