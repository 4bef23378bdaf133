// Package burnpage formats burn reports for operators, as text tables and as a
// self-contained HTML page that uses no scripts and loads nothing from the
// network. It holds no state.
package burnpage

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hyssophaven/hyssophaven/burn/burncodec"
)

// WriteText writes the report as text tables.
func WriteText(w io.Writer, r burncodec.Report) error {
	p := &printer{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	p.printLine("%s", summary(r))
	if warning := coverageWarning(r); warning != "" {
		p.printLine("warning: %s", warning)
	}
	p.printLine("")
	p.printLevels("RANK", r.Ranks, func(l burncodec.ServiceLevel) string { return l.Rank })
	p.printLine("")
	p.printLevels("ROW\tRANK", rowsWithRequests(r.Rows), func(l burncodec.ServiceLevel) string { return l.Row + "\t" + l.Rank })
	p.printCounts(r)
	p.printTargets(r)
	p.printFloods(r)
	p.printMoves(r)
	if p.err != nil {
		return p.err
	}
	return p.w.Flush()
}

// printer writes table rows until the first error, which it keeps.
type printer struct {
	w   *tabwriter.Writer
	err error
}

// printLine writes a formatted row. Tabs separate its cells.
func (p *printer) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// printLevels writes a table of service levels under the header. The name of a
// level fills as many cells as the header has.
func (p *printer) printLevels(header string, levels []burncodec.ServiceLevel, name func(burncodec.ServiceLevel) string) {
	if len(levels) == 0 {
		return
	}
	for _, win := range levels[0].Windows {
		header += fmt.Sprintf("\tGOOD %[1]s\tBURN %[1]s", formatDuration(win.Seconds))
	}
	p.printLine("%s\tBUDGET LEFT %s\tALERT", header, formatDuration(levels[0].BudgetSeconds))
	for _, l := range levels {
		text := name(l)
		for _, win := range l.Windows {
			text += fmt.Sprintf("\t%s\t%s", formatPercent(win.Attainment, win.Valid), formatBurnRate(win))
		}
		p.printLine("%s\t%s\t%s", text, formatPercent(l.BudgetLeft, l.PeriodValid), l.Alert)
	}
}

func (p *printer) printCounts(r burncodec.Report) {
	p.printLine("\nRANK, 6h\tASKED\tGOOD\tLATE\tFAILED\tOVERLOAD\tDEADLINE\tLIMIT\tUNAVAILABLE\tCALLER'S FAULT\tCANCELLED")
	for _, l := range r.Ranks {
		w := longestWindow(l)
		p.printLine("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", l.Rank, w.Asked, w.Good, w.Late, w.Failed,
			w.Refused.Overload, w.Refused.Deadline, w.Refused.Limit, w.Refused.Unavailable, w.Refused.Caller, w.Cancelled)
	}
}

func (p *printer) printTargets(r burncodec.Report) {
	p.printLine("\nRANK, 6h\tFIRST TOKEN\tBETWEEN TOKENS\tWHOLE ANSWER")
	for _, l := range r.Ranks {
		text := l.Rank
		for _, t := range l.Targets {
			text += "\t" + formatPercent(t.Attainment, t.Met+t.Missed)
		}
		p.printLine("%s", text)
	}
}

func (p *printer) printFloods(r burncodec.Report) {
	for _, f := range r.Floods {
		p.printLine("\nflood of rank %s: %d min in the last 6h, peak %d requests/min, median %d", f.Rank, f.Minutes, f.PeakPerMinute, f.MedianPerMinute)
		p.printLine("RANK\tGOOD DURING\tGOOD OTHERWISE\tGOOD/MIN DURING\tGOOD/MIN OTHERWISE")
		for _, k := range f.Others {
			p.printLine("%s\t%s\t%s\t%.1f\t%.1f", k.Rank, formatPercent(k.AttainmentFlood, k.ValidFlood), formatPercent(k.AttainmentCalm, k.ValidCalm), k.GoodPerMinuteFlood, k.GoodPerMinuteCalm)
		}
	}
}

func (p *printer) printMoves(r burncodec.Report) {
	if len(r.Moves) == 0 {
		return
	}
	p.printLine("\nMOVES PLANNED\tCAUSE\t5m\t1h\t6h\t24h")
	for _, m := range r.Moves {
		text := m.Action + "\t" + m.Cause
		for _, n := range m.Windows {
			text += fmt.Sprintf("\t%d", n)
		}
		p.printLine("%s\t%d", text, m.Period)
	}
}

func summary(r burncodec.Report) string {
	return fmt.Sprintf("burn report of %s, objective %.4g%%, counts of %d incarnations", r.Time.UTC().Format(time.RFC3339), 100*r.Objective, r.Sources)
}

// coverageWarning returns a warning about counts that the report lacks, or "" if it
// is complete.
func coverageWarning(r burncodec.Report) string {
	var text string
	switch {
	case !r.Complete && r.OthersAsOf.IsZero():
		text = "the object store could not be read; only the counts of the answering instance are included. "
	case !r.Complete:
		text = fmt.Sprintf("%d documents could not be read; the others are as of %s. ", r.UnreadDocuments, r.OthersAsOf.UTC().Format(time.RFC3339))
	}
	if r.Uncounted > 0 {
		text += fmt.Sprintf("%d requests were not counted because instances were too busy.", r.Uncounted)
	}
	return text
}

// rowsWithRequests returns the rows that have valid requests in the budget period
// or received any request in the longest window.
func rowsWithRequests(rows []burncodec.ServiceLevel) []burncodec.ServiceLevel {
	var out []burncodec.ServiceLevel
	for _, l := range rows {
		if l.PeriodValid > 0 || longestWindow(l).Asked > 0 {
			out = append(out, l)
		}
	}
	return out
}

func longestWindow(l burncodec.ServiceLevel) burncodec.Window { return l.Windows[len(l.Windows)-1] }

// formatPercent formats a share in percent with two decimals, or as a dash if the
// total is 0.
func formatPercent(share float64, total uint64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*share)
}

// formatBurnRate formats the burn rate of a window, or a dash without valid requests.
func formatBurnRate(w burncodec.Window) string {
	if w.Valid == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.BurnRate)
}

// formatDuration formats a time in hours, or in minutes if it is shorter than one
// hour.
func formatDuration(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d >= time.Hour {
		return fmt.Sprintf("%.4gh", d.Hours())
	}
	return fmt.Sprintf("%.4gm", d.Minutes())
}
