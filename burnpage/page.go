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
	"percent": formatPercent, "rate": formatBurnRate, "span": formatDuration, "longest": longestWindow,
	"hot":       func(w burncodec.Window) bool { return w.Valid > 0 && w.BurnRate > 1 },
	"clock":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 MST") },
	"decimal":   func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"objective": func(v float64) string { return fmt.Sprintf("%.4g%%", 100*v) },
}).Parse(pageText))

// pageData is the input of the page template.
type pageData struct {
	Report   burncodec.Report
	Rows     []burncodec.ServiceLevel // rows with requests in the budget period
	Coverage string
	Plots    []figure
}

// figure is a rendered plot with its heading and explanation.
type figure struct {
	Title, Note string
	SVG         template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, r burncodec.Report) error {
	data := pageData{Report: r, Rows: rowsWithRequests(r.Rows), Coverage: coverageWarning(r)}
	for _, f := range []struct {
		title, note string
		draw        func(burncodec.Report) (*plot.Plot, error)
	}{
		{"Burn rate by rank", "Steps of five minutes. Grey lines: at 1 the error budget is spent exactly by the end of its period, 6 is a slow burn, 14.4 a fast burn.", burnPlot},
		{"Attainment by rank", "Share of the valid requests that were answered within every target. Grey line: the objective.", attainmentPlot},
		{"Requests asked by rank", "Everything that callers asked of the fleet, also what was refused or cancelled. The last step is still filling.", arrivalsPlot},
		{"Model moves planned", "Per five minutes; the table below shows their causes.", movesPlot},
	} {
		p, err := f.draw(r)
		if err != nil {
			return fmt.Errorf("draw plot %s: %w", f.title, err)
		}
		image, err := renderSVG(p)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, figure{Title: f.title, Note: f.note, SVG: image})
	}
	return page.Execute(w, data)
}
