package burnpage

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"

	"github.com/hyssophaven/hyssophaven/burn/burncodec"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent, "rate": rate, "span": span, "longest": longest,
	"hot":       func(w burncodec.Window) bool { return w.Valid > 0 && w.BurnRate > 1 },
	"clock":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 MST") },
	"decimal":   func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"objective": func(v float64) string { return fmt.Sprintf("%.4g%%", 100*v) },
}).Parse(pageText))

// view is what the page's template shows.
type view struct {
	Report   burncodec.Report
	Rows     []burncodec.Level // those with requests in the budget period
	Coverage string
	Plots    []figure
}

type figure struct {
	Title, Note string
	SVG         template.HTML
}

// WriteHTML writes the report as one self-contained page.
func WriteHTML(w io.Writer, r burncodec.Report) error {
	v := view{Report: r, Rows: busy(r.Rows), Coverage: coverage(r)}
	for _, f := range []struct {
		title, note string
		draw        func(burncodec.Report) (*plot.Plot, error)
	}{
		{"Burn rate by rank", "Steps of five minutes. Grey lines: at 1 the error budget is spent exactly by the end of its period, 6 is a slow burn, 14.4 a fast burn.", burnPlot},
		{"Attainment by rank", "Share of the valid requests that were answered within every target. Grey line: the objective.", attainmentPlot},
		{"Requests asked by rank", "Everything that callers asked of the fleet, also what was refused or cancelled. The last step is still filling.", askedPlot},
		{"Model moves planned", "Per five minutes; the table below shows their causes.", movesPlot},
	} {
		p, err := f.draw(r)
		if err != nil {
			return fmt.Errorf("%s: %w", f.title, err)
		}
		image, err := svg(p)
		if err != nil {
			return err
		}
		v.Plots = append(v.Plots, figure{Title: f.title, Note: f.note, SVG: image})
	}
	return page.Execute(w, v)
}
