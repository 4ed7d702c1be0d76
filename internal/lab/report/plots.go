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

// series is one line of a plot.
type series struct {
	name string
	of   func(p *experiment.Point) float64
}

// picture is one plot: lines of the agents' lane, and of the others where all is set.
type picture struct {
	file, title, unit string
	lines             []series
	baselines         bool    // the first line of each baseline as well
	top               float64 // of the axis; 0: by the figures
	log               bool
}

var pictures = []picture{
	{file: "served.png", title: "Share of requests by outcome", unit: "share", baselines: true, top: 1.02, lines: []series{
		{"served in time", func(p *experiment.Point) float64 { return p.ServedShare }},
		{"refused", func(p *experiment.Point) float64 { return p.RejectedShare }}}},
	{file: "latency.png", title: "Latency of served requests", unit: "ms", log: true, lines: []series{
		{"p50", func(p *experiment.Point) float64 { return p.P50Ms }},
		{"p99", func(p *experiment.Point) float64 { return p.P99Ms }}}},
	{file: "attempts.png", title: "Requests asked and attempts at servers", unit: "a second", lines: []series{
		{"asked", func(p *experiment.Point) float64 { return float64(p.Requests) }},
		{"attempts", func(p *experiment.Point) float64 { return p.AttemptsPerSecond }}}},
	{file: "connections.png", title: "Connections to servers", unit: "count", lines: []series{
		{"open", func(p *experiment.Point) float64 { return float64(p.OpenConnections) }},
		{"opened a second", func(p *experiment.Point) float64 { return p.ConnectionsPerSecond }}}},
	{file: "list.png", title: "Calls for the list, and probes", unit: "a second", lines: []series{
		{"list calls", func(p *experiment.Point) float64 { return p.ListCallsPerSecond }},
		{"probes", func(p *experiment.Point) float64 { return p.ProbesPerSecond }}}},
	{file: "servers.png", title: "Servers that are not themselves, and agents", unit: "count", lines: []series{
		{"cold", func(p *experiment.Point) float64 { return float64(p.WarmingUp) }},
		{"choked", func(p *experiment.Point) float64 { return float64(p.Overloaded) }},
		{"down", func(p *experiment.Point) float64 { return float64(p.Down) }},
		{"agents up", func(p *experiment.Point) float64 { return float64(p.Agents) }}}},
}

var colours = []color.RGBA{
	{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, {R: 0xd6, G: 0x27, B: 0x28, A: 0xff}, {R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	{R: 0x94, G: 0x67, B: 0xbd, A: 0xff}, {R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}, {R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

// Plots draws the pictures into a folder and returns their files.
func Plots(dir string, s *experiment.Summary) ([]string, error) {
	var files []string
	for i := range pictures {
		file := filepath.Join(dir, pictures[i].file)
		if err := pictures[i].draw(file, s); err != nil {
			return files, fmt.Errorf("plot %s: %w", pictures[i].file, err)
		}
		files = append(files, file)
	}
	return files, nil
}

func (pic *picture) draw(file string, s *experiment.Summary) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s (seed %d)", s.Name, pic.title, s.Seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds", pic.unit
	p.X.Min, p.X.Max = 0, s.DurationSeconds
	// Shares run along the top and the bottom, so their legend stands between.
	p.Legend.Top, p.Legend.Left = pic.top == 0, true
	if pic.top > 0 {
		p.Legend.YOffs = 2 * vg.Centimeter
	}
	p.Legend.Padding = vg.Points(2)
	p.X.Tick.Marker, p.Y.Tick.Marker = ticks{}, ticks{}
	p.Add(plotter.NewGrid())
	top := pic.top
	agents := &s.Fleets[0]
	lowest := math.Inf(1)
	for _, l := range pic.lines {
		for i := range agents.Series {
			y := l.of(&agents.Series[i])
			if pic.top == 0 {
				top = max(top, y*(1.05+0.1*float64(len(pic.lines)))) // the legend stands above the lines
			}
			if y > 0 {
				lowest = min(lowest, y)
			}
		}
	}
	low := 0.0
	if pic.log {
		low, top = 1, max(top, 10)*2
		if lowest < 1 {
			low = lowest
		}
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if top <= low {
		top = low + 1
	}
	n := 0
	for i := range s.Faults {
		if s.Faults[i].BeganSeconds >= 0 {
			if err := mark(p, &s.Faults[i], low, top, n); err != nil {
				return err
			}
			n++
		}
	}
	for i, l := range pic.lines {
		if err := line(p, l, agents.Series, l.name, i, nil, low); err != nil {
			return err
		}
	}
	if pic.baselines {
		for i := range s.Fleets[1:] {
			lane := &s.Fleets[i+1]
			if err := line(p, pic.lines[0], lane.Series, lane.Name, len(pic.lines)+i, []vg.Length{vg.Points(4), vg.Points(2)}, low); err != nil {
				return err
			}
		}
	}
	p.Y.Min, p.Y.Max = low, top
	return p.Save(26*vg.Centimeter, 11*vg.Centimeter, file)
}

// ticks are the usual ones, with no more digits than their numbers have.
type ticks struct{}

func (ticks) Ticks(low, high float64) []plot.Tick {
	all := plot.DefaultTicks{}.Ticks(low, high)
	for i := range all {
		if all[i].Label != "" {
			all[i].Label = strconv.FormatFloat(all[i].Value, 'g', 6, 64)
		}
	}
	return all
}

func line(p *plot.Plot, l series, points []experiment.Point, name string, colour int, dashes []vg.Length, low float64) error {
	xys := make(plotter.XYs, 0, len(points))
	for i := range points {
		y := l.of(&points[i])
		xys = append(xys, plotter.XY{X: points[i].AtS + 0.5, Y: max(y, low)})
	}
	if len(xys) == 0 {
		return nil
	}
	ln, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	ln.Color, ln.Width, ln.Dashes = colours[colour%len(colours)], vg.Points(1.6), dashes
	p.Add(ln)
	p.Legend.Add(name, ln)
	return nil
}

// mark shades the time of a fault and writes its name, each a line lower than the last.
func mark(p *plot.Plot, f *experiment.InjectedFault, low, top float64, n int) error {
	to := max(f.EndedSeconds, f.BeganSeconds+0.15)
	band, err := plotter.NewPolygon(plotter.XYs{{X: f.BeganSeconds, Y: low}, {X: to, Y: low}, {X: to, Y: top}, {X: f.BeganSeconds, Y: top}})
	if err != nil {
		return err
	}
	band.Color, band.LineStyle.Width = color.NRGBA{R: 0xf2, G: 0xc0, B: 0x5a, A: 0x50}, 0
	p.Add(band)
	edge, err := plotter.NewLine(plotter.XYs{{X: f.BeganSeconds, Y: low}, {X: f.BeganSeconds, Y: top}})
	if err != nil {
		return err
	}
	edge.Color, edge.Width = color.RGBA{R: 0xc0, G: 0x90, B: 0x20, A: 0xff}, vg.Points(0.8)
	p.Add(edge)
	// A line of text is about a twentieth of the height.
	part := 0.45 - 0.055*float64(n%7)
	y := low + (top-low)*part
	if _, log := p.Y.Scale.(plot.LogScale); log {
		y = low * math.Pow(top/low, part)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.BeganSeconds, Y: y}}, Labels: []string{" " + f.Name}})
	if err != nil {
		return err
	}
	labels.TextStyle[0].Color = color.RGBA{R: 0x70, G: 0x55, B: 0x10, A: 0xff}
	labels.TextStyle[0].Font.Size = vg.Points(8)
	labels.TextStyle[0].XAlign = draw.XLeft
	p.Add(labels)
	return nil
}
