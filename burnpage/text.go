// Package burnpage shows burn reports to people: as a text table and as one
// HTML page that needs neither scripts nor a network.
package burnpage

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hyssophaven/hyssophaven/burn/burncodec"
)

// WriteText writes the report as tables.
func WriteText(w io.Writer, r burncodec.Report) error {
	p := &printer{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	p.line("%s", summary(r))
	if warning := coverage(r); warning != "" {
		p.line("warning: %s", warning)
	}
	p.line("")
	p.levels("RANK", r.Ranks, func(l burncodec.Level) string { return l.Rank })
	p.line("")
	p.levels("ROW\tRANK", busy(r.Rows), func(l burncodec.Level) string { return l.Row + "\t" + l.Rank })
	p.counts(r)
	p.targets(r)
	p.floods(r)
	p.moves(r)
	if p.err != nil {
		return p.err
	}
	return p.w.Flush()
}

// printer keeps the first error of its writes.
type printer struct {
	w   *tabwriter.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) levels(header string, levels []burncodec.Level, name func(burncodec.Level) string) {
	if len(levels) == 0 {
		return
	}
	for _, win := range levels[0].Windows {
		header += fmt.Sprintf("\tGOOD %[1]s\tBURN %[1]s", span(win.Seconds))
	}
	p.line("%s\tBUDGET LEFT %s\tALERT", header, span(levels[0].BudgetSeconds))
	for _, l := range levels {
		text := name(l)
		for _, win := range l.Windows {
			text += fmt.Sprintf("\t%s\t%s", percent(win.Attainment, win.Valid), rate(win))
		}
		p.line("%s\t%s\t%s", text, percent(l.BudgetLeft, l.PeriodValid), l.Alert)
	}
}

func (p *printer) counts(r burncodec.Report) {
	p.line("\nRANK, 6h\tASKED\tGOOD\tLATE\tFAILED\tOVERLOAD\tDEADLINE\tLIMIT\tUNAVAILABLE\tCALLER'S FAULT\tCANCELLED")
	for _, l := range r.Ranks {
		w := longest(l)
		p.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", l.Rank, w.Asked, w.Good, w.Late, w.Failed,
			w.Refused.Overload, w.Refused.Deadline, w.Refused.Limit, w.Refused.Unavailable, w.Refused.Caller, w.Cancelled)
	}
}

func (p *printer) targets(r burncodec.Report) {
	p.line("\nRANK, 6h\tFIRST TOKEN\tBETWEEN TOKENS\tWHOLE ANSWER")
	for _, l := range r.Ranks {
		text := l.Rank
		for _, t := range l.Targets {
			text += "\t" + percent(t.Attainment, t.Met+t.Missed)
		}
		p.line("%s", text)
	}
}

func (p *printer) floods(r burncodec.Report) {
	for _, f := range r.Floods {
		p.line("\nflood of rank %s: %d min in the last 6h, peak %d requests/min, median %d", f.Rank, f.Minutes, f.PeakPerMinute, f.MedianPerMinute)
		p.line("RANK\tGOOD DURING\tGOOD OTHERWISE\tGOOD/MIN DURING\tGOOD/MIN OTHERWISE")
		for _, k := range f.Others {
			p.line("%s\t%s\t%s\t%.1f\t%.1f", k.Rank, percent(k.AttainmentFlood, k.ValidFlood), percent(k.AttainmentCalm, k.ValidCalm), k.GoodPerMinuteFlood, k.GoodPerMinuteCalm)
		}
	}
}

func (p *printer) moves(r burncodec.Report) {
	if len(r.Moves) == 0 {
		return
	}
	p.line("\nMOVES PLANNED\tCAUSE\t5m\t1h\t6h\t24h")
	for _, m := range r.Moves {
		text := m.Action + "\t" + m.Cause
		for _, n := range m.Windows {
			text += fmt.Sprintf("\t%d", n)
		}
		p.line("%s\t%d", text, m.Period)
	}
}

func summary(r burncodec.Report) string {
	return fmt.Sprintf("burn report of %s, objective %.4g%%, counts of %d incarnations", r.Time.UTC().Format(time.RFC3339), 100*r.Objective, r.Sources)
}

// coverage says what is missing from the report, or nothing.
func coverage(r burncodec.Report) string {
	var text string
	switch {
	case !r.Complete && r.OthersAsOf.IsZero():
		text = "the object store could not be read; only the counts of the answering instance are included. "
	case !r.Complete:
		text = fmt.Sprintf("%d documents could not be read; the others are as of %s. ", r.Unread, r.OthersAsOf.UTC().Format(time.RFC3339))
	}
	if r.Lost > 0 {
		text += fmt.Sprintf("%d requests were not counted because instances were too busy.", r.Lost)
	}
	return text
}

// busy returns the rows that were asked for in the budget period.
func busy(rows []burncodec.Level) []burncodec.Level {
	var out []burncodec.Level
	for _, l := range rows {
		if l.PeriodValid > 0 || longest(l).Asked > 0 {
			out = append(out, l)
		}
	}
	return out
}

func longest(l burncodec.Level) burncodec.Window { return l.Windows[len(l.Windows)-1] }

// percent shows a share with two decimals, or a dash if it is of nothing.
func percent(share float64, of uint64) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*share)
}

func rate(w burncodec.Window) string {
	if w.Valid == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.BurnRate)
}

// span shows whole minutes or hours.
func span(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d >= time.Hour {
		return fmt.Sprintf("%.4gh", d.Hours())
	}
	return fmt.Sprintf("%.4gm", d.Minutes())
}
