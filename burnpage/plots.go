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

// lineStyles are the styles of the lines of the ranks. They differ in dashes and in
// colours that colour-blind readers can distinguish.
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

// timePlot returns an empty plot with a grid. Its x axis covers the timeline of the
// report.
func timePlot(r burncodec.Report, label string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "UTC"
	p.Y.Label.Text = label
	p.X.Tick.Marker = plot.TickerFunc(halfHourTicks)
	p.Legend.Top, p.Legend.Left = true, true
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = gridColor, gridColor
	p.Add(grid)
	if len(r.Timeline) > 0 {
		p.X.Min = unixSeconds(r.Timeline[0].Start)
		p.X.Max = unixSeconds(r.Time)
	}
	p.Y.Min = 0
	return p
}

// halfHourTicks returns a tick for each half hour, with labels on whole hours.
func halfHourTicks(from, to float64) []plot.Tick {
	const step = 30 * time.Minute
	var ticks []plot.Tick
	for t := time.Unix(int64(from), 0).UTC().Truncate(step); unixSeconds(t) <= to; t = t.Add(step) {
		tick := plot.Tick{Value: unixSeconds(t)}
		if t.Minute() == 0 {
			tick.Label = t.Format("15:04")
		}
		if tick.Value >= from {
			ticks = append(ticks, tick)
		}
	}
	return ticks
}

func unixSeconds(t time.Time) float64 { return float64(t.Unix()) }

// addRankLines adds a line for each rank. The line has a gap where value returns
// false.
func addRankLines(p *plot.Plot, r burncodec.Report, value func(burncodec.RankPoint) (float64, bool)) error {
	for i := range r.Ranks {
		style := lineStyles[i%len(lineStyles)]
		var segment plotter.XYs
		inLegend := false
		flush := func() error {
			if len(segment) == 0 {
				return nil
			}
			line, points, err := plotter.NewLinePoints(segment)
			if err != nil {
				return err
			}
			line.LineStyle = style
			points.GlyphStyle = draw.GlyphStyle{Color: style.Color, Radius: vg.Points(1.6), Shape: draw.CircleGlyph{}}
			p.Add(line, points)
			if !inLegend {
				p.Legend.Add(r.Ranks[i].Rank, line)
			}
			segment, inLegend = nil, true
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
			segment = append(segment, plotter.XY{X: unixSeconds(point.Start) + point.Seconds/2, Y: v})
		}
		if err := flush(); err != nil {
			return err
		}
	}
	return nil
}

// addGuideLine adds a horizontal line at y. The note above the plot explains it.
func addGuideLine(p *plot.Plot, y float64) error {
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
	err := addRankLines(p, r, func(l burncodec.RankPoint) (float64, bool) {
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
		if err := addGuideLine(p, y); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func attainmentPlot(r burncodec.Report) (*plot.Plot, error) {
	p := timePlot(r, "good requests in %")
	lowest := 100.0
	err := addRankLines(p, r, func(l burncodec.RankPoint) (float64, bool) {
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
	return p, addGuideLine(p, 100*r.Objective)
}

func arrivalsPlot(r burncodec.Report) (*plot.Plot, error) {
	p := timePlot(r, "requests per minute")
	minutes := 1.0
	if len(r.Timeline) > 0 {
		minutes = r.Timeline[0].Seconds / 60
	}
	err := addRankLines(p, r, func(l burncodec.RankPoint) (float64, bool) { return float64(l.Asked) / minutes, true })
	p.Y.Max = math.Max(1.15*p.Y.Max, 1)
	return p, err
}

func movesPlot(r burncodec.Report) (*plot.Plot, error) {
	p := timePlot(r, "moves planned")
	bars := &plotter.Histogram{FillColor: barColor, LineStyle: draw.LineStyle{Color: color.White, Width: vg.Points(0.5)}}
	highest := 1.0
	for _, point := range r.Timeline {
		start := unixSeconds(point.Start)
		bars.Bins = append(bars.Bins, plotter.HistogramBin{Min: start, Max: start + point.Seconds, Weight: float64(point.Moves)})
		highest = math.Max(highest, float64(point.Moves))
	}
	p.Add(bars)
	p.Y.Min, p.Y.Max = 0, highest*1.15
	return p, nil
}

// renderSVG returns the plot as an SVG element for embedding in an HTML page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("draw plot: %w", err)
	}
	// HTML does not allow the XML declaration before the element.
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", fmt.Errorf("draw plot: no svg element in %d bytes", out.Len())
	}
	return template.HTML(out.Bytes()[start:]), nil
}
