package load

import (
	"errors"
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter // height of the plot of one rank
)

// WriteSVG draws one plot per rank with the number of requests sent, attained, and
// refused or failed, by second of scheduled arrival.
func (r *Result) WriteSVG(w io.Writer) error {
	if len(r.Ranks) == 0 {
		return errors.New("nothing to plot: no request was sent")
	}
	canvas := vgsvg.New(plotWidth, plotHeight*vg.Length(len(r.Ranks)))
	tiles := draw.Tiles{Rows: len(r.Ranks), Cols: 1, PadY: vg.Millimeter}
	for i, k := range r.Ranks {
		p, err := k.plot()
		if err != nil {
			return fmt.Errorf("plot rank %s: %w", k.Rank, err)
		}
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	_, err := canvas.WriteTo(w)
	return err
}

func (r *RankResult) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: attainment %.2f%%", r.Rank, 100*r.Attainment)
	p.X.Label.Text = "arrival (s)"
	p.Y.Label.Text = "requests/s"
	p.Y.Min = 0
	p.Legend.Top = true
	for _, line := range []struct {
		name  string
		color color.RGBA
		value func(SecondCounts) int
	}{
		{"sent", color.RGBA{A: 255}, func(s SecondCounts) int { return s.Sent }},
		{"attained", color.RGBA{G: 140, A: 255}, func(s SecondCounts) int { return s.Attained }},
		{"refused or failed", color.RGBA{R: 200, A: 255}, func(s SecondCounts) int { return s.Refused }},
	} {
		points := make(plotter.XYs, len(r.Seconds))
		for i, s := range r.Seconds {
			points[i] = plotter.XY{X: float64(i), Y: float64(line.value(s))}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.Color = line.color
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	return p, nil
}
