package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes Markdown tables of the lines with their fits, and of the
// budgets with their use at the design size.
func WriteMarkdown(w io.Writer, lines []Line) error {
	var b strings.Builder
	b.WriteString("| cost | measured at | fit | R² | at full size | times | load | of budget |\n|---|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		writeLine(&b, l)
	}
	b.WriteString("\n| budget | limit | sum or largest line | share |\n|---|---|---|---|\n")
	for i := Processor; i < budgetSentinel; i++ {
		if load, found := budgetLoad(lines, i); found {
			d := budgets[i]
			fmt.Fprintf(&b, "| %s | %s %s | %s | %s |\n", d.name, digits(d.limit), d.unit, digits(load), percent(load/d.limit))
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeLine(b *strings.Builder, l Line) {
	cost, f := l.AtDesignSize()
	var samples []string
	for _, s := range l.Samples {
		samples = append(samples, fmt.Sprintf("%g: %s", s.Size, digits(s.Cost)))
	}
	load, share := "–", "–"
	if l.Budget != NoBudget {
		d := budgets[l.Budget]
		load = digits(l.BudgetUse()) + " " + d.unit
		share = percent(l.BudgetUse() / d.limit)
		if l.IsPart {
			share = "(" + share + ")"
		}
	}
	fmt.Fprintf(b, "| %s | %s: %s | %s | %.3f | %s %s | %s | %s | %s |\n",
		l.Name, l.SizeUnit, strings.Join(samples, ", "), f, f.R2, digits(cost), l.CostUnit, l.Explanation, load, share)
}

// budgetLoad returns the sum of the lines of a budget, or the largest line if the
// limit applies to each line. found is false if no line counts.
func budgetLoad(lines []Line, budget Budget) (load float64, found bool) {
	for _, l := range lines {
		if l.Budget != budget || l.IsPart && budgets[budget].total && budget != Memory {
			continue
		}
		found = true
		if budgets[budget].total {
			load += l.BudgetUse()
		} else {
			load = max(load, l.BudgetUse())
		}
	}
	return load, found
}

// LinesOverBudget returns the lines whose cost at the design size alone exceeds
// their budget.
func LinesOverBudget(lines []Line) []Line {
	var out []Line
	for _, l := range lines {
		if l.Budget != NoBudget && l.BudgetUse() > budgets[l.Budget].limit {
			out = append(out, l)
		}
	}
	return out
}

// digits formats a number with at least three significant digits.
func digits(x float64) string {
	switch {
	case x >= 100:
		return fmt.Sprintf("%.0f", x)
	case x >= 10:
		return fmt.Sprintf("%.1f", x)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}

func percent(share float64) string { return digits(100*share) + "%" }
