package burnpage

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/hyssophaven/hyssophaven/burn/burncodec"
)

const (
	plotWidth  = 900 * vg.Inch / 72
	plotHeight = 250 * vg.Inch / 72
)

// lineStyles tell the ranks apart by colour and by dashes. The colours differ
// for people who are colour-blind.
var lineStyles = []draw.LineStyle{
	{Color: color.RGBA{R: 0xd5, G: 0x5e, A: 0xff}, Width: vg.Points(1.8)},
	{Color: color.RGBA{G: 0x72, B: 0xb2, A: 0xff}, Width: vg.Points(1.8), Dashes: []vg.Length{6, 3}},
	{Color: color.RGBA{G: 0x9e, B: 0x73, A: 0xff}, Width: vg.Points(1.8), Dashes: []vg.Length{2, 2}},
}

var (
	gridColor  = color.Gray{Y: 0xdd}
	guideColor = color.Gray{Y: 0x88}
	barColor   = color.RGBA{R: 0x66, G: 0x88, B: 0xaa, A: 0xff}
)

// timePlot returns a plot over the time of the report.
func timePlot(r burncodec.Report, label string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "UTC"
	p.Y.Label.Text = label
	p.X.Tick.Marker = plot.TickerFunc(halfHours)
	p.Legend.Top, p.Legend.Left = true, true
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = gridColor, gridColor
	p.Add(grid)
	if len(r.Timeline) > 0 {
		p.X.Min = unix(r.Timeline[0].Start)
		p.X.Max = unix(r.Time)
	}
	p.Y.Min = 0
	return p
}

// halfHours marks half hours and names whole ones.
func halfHours(from, to float64) []plot.Tick {
	const step = 30 * time.Minute
	var ticks []plot.Tick
	for t := time.Unix(int64(from), 0).UTC().Truncate(step); unix(t) <= to; t = t.Add(step) {
		tick := plot.Tick{Value: unix(t)}
		if t.Minute() == 0 {
			tick.Label = t.Format("15:04")
		}
		if tick.Value >= from {
			ticks = append(ticks, tick)
		}
	}
	return ticks
}

func unix(t time.Time) float64 { return float64(t.Unix()) }

// rankLines draws a line for each rank, broken where value has nothing to show.
func rankLines(p *plot.Plot, r burncodec.Report, value func(burncodec.PointLevel) (float64, bool)) error {
	for i := range r.Ranks {
		style := lineStyles[i%len(lineStyles)]
		var run plotter.XYs
		drawn := false
		flush := func() error {
			if len(run) == 0 {
				return nil
			}
			line, points, err := plotter.NewLinePoints(run)
			if err != nil {
				return err
			}
			line.LineStyle = style
			points.GlyphStyle = draw.GlyphStyle{Color: style.Color, Radius: vg.Points(1.6), Shape: draw.CircleGlyph{}}
			p.Add(line, points)
			if !drawn {
				p.Legend.Add(r.Ranks[i].Rank, line)
			}
			run, drawn = nil, true
			return nil
		}
		for _, point := range r.Timeline {
			v, ok := 0.0, i < len(point.Ranks)
			if ok {
				v, ok = value(point.Ranks[i])
			}
			if !ok {
				if err := flush(); err != nil {
					return err
				}
				continue
			}
			run = append(run, plotter.XY{X: unix(point.Start) + point.Seconds/2, Y: v})
		}
		if err := flush(); err != nil {
			return err
		}
	}
	return nil
}

// guide draws a horizontal line, which the note above the plot explains.
func guide(p *plot.Plot, y float64) error {
	line, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: y}, {X: p.X.Max, Y: y}})
	if err != nil {
		return err
	}
	line.LineStyle = draw.LineStyle{Color: guideColor, Width: vg.Points(0.8), Dashes: []vg.Length{1, 2}}
	p.Add(line)
	return nil
}

func burnPlot(r burncodec.Report) (*plot.Plot, error) {
	p := timePlot(r, "burn rate")
	highest := 0.0
	err := rankLines(p, r, func(l burncodec.PointLevel) (float64, bool) {
		if l.Valid > 0 {
			highest = math.Max(highest, l.BurnRate)
		}
		return l.BurnRate, l.Valid > 0
	})
	if err != nil {
		return nil, err
	}
	p.Y.Max = math.Max(2, 1.15*highest)
	for _, y := range []float64{1, 6, 14.4} {
		if y > p.Y.Max {
			break
		}
		if err := guide(p, y); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func attainmentPlot(r burncodec.Report) (*plot.Plot, error) {
	p := timePlot(r, "good requests in %")
	lowest := 100.0
	err := rankLines(p, r, func(l burncodec.PointLevel) (float64, bool) {
		if l.Valid > 0 {
			lowest = math.Min(lowest, 100*l.Attainment)
		}
		return 100 * l.Attainment, l.Valid > 0
	})
	if err != nil {
		return nil, err
	}
	p.Legend.Top = false
	p.Y.Min, p.Y.Max = math.Max(0, math.Min(98, lowest-2)), 100.2
	return p, guide(p, 100*r.Objective)
}

func askedPlot(r burncodec.Report) (*plot.Plot, error) {
	p := timePlot(r, "requests per minute")
	minutes := 1.0
	if len(r.Timeline) > 0 {
		minutes = r.Timeline[0].Seconds / 60
	}
	err := rankLines(p, r, func(l burncodec.PointLevel) (float64, bool) { return float64(l.Asked) / minutes, true })
	p.Y.Max = math.Max(1.15*p.Y.Max, 1)
	return p, err
}

func movesPlot(r burncodec.Report) (*plot.Plot, error) {
	p := timePlot(r, "moves planned")
	bars := &plotter.Histogram{FillColor: barColor, LineStyle: draw.LineStyle{Color: color.White, Width: vg.Points(0.5)}}
	highest := 1.0
	for _, point := range r.Timeline {
		start := unix(point.Start)
		bars.Bins = append(bars.Bins, plotter.HistogramBin{Min: start, Max: start + point.Seconds, Weight: float64(point.Moves)})
		highest = math.Max(highest, float64(point.Moves))
	}
	p.Add(bars)
	p.Y.Min, p.Y.Max = 0, highest*1.15
	return p, nil
}

// svg returns the plot as an SVG element for use inside a page.
func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", fmt.Errorf("draw plot: %w", err)
	}
	// The XML declaration may not stand inside a page.
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", fmt.Errorf("draw plot: no svg element in %d bytes", out.Len())
	}
	return template.HTML(out.Bytes()[start:]), nil
}
