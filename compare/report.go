package compare

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/load"
)

// spread is the median of some values with their range.
type spread struct{ median, low, high float64 }

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	s := slices.Sorted(slices.Values(values))
	return spread{median: s[len(s)/2], low: s[0], high: s[len(s)-1]}
}

func (s spread) percent() string {
	return fmt.Sprintf("%.1f%% (%.1f–%.1f)", 100*s.median, 100*s.low, 100*s.high)
}

func (s spread) number() string { return fmt.Sprintf("%.1f (%.1f–%.1f)", s.median, s.low, s.high) }

// WriteMarkdown writes a table per case with medians and ranges over the seeds.
func WriteMarkdown(w io.Writer, o Options, runs []Run) error {
	p := printer{w: w}
	p.printf("%d instances, %d replicas, %d seeds; the fleet generates at most %.0f tokens/s.\n", o.Instances, o.Deployment.Replicas, len(o.Seeds), fleetTokens(o.Deployment))
	for _, c := range o.Cases {
		p.printf("\n### %s\n\nTarget: %s.\n\n", c.Name, c.Target)
		p.printf("| policy | urgent attained | prompt attained | patient attained | urgent goodput/s | prompt goodput/s | patient goodput/s | moves | urgent back after | wrong answers | failed runs |\n")
		p.printf("|---|---|---|---|---|---|---|---|---|---|---|\n")
		for _, policy := range o.Policies {
			p.row(policy, runsOf(runs, c, policy))
		}
	}
	return p.err
}

func runsOf(runs []Run, c Case, policy Policy) []Run {
	var out []Run
	for _, r := range runs {
		if r.Case.Name == c.Name && r.Policy == policy {
			out = append(out, r)
		}
	}
	return out
}

// printer keeps the first error of a series of writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) row(policy Policy, runs []Run) {
	var attainment, goodput [fleet.RankCount][]float64
	var moves, recovered []float64
	wrong, failed := 0, 0
	for _, r := range runs {
		if r.Err != nil || r.Result == nil {
			failed++
			continue
		}
		moves = append(moves, float64(r.Moves))
		recovered = append(recovered, r.Recovered.Seconds())
		wrong += r.Result.WrongAnswers()
		for _, rank := range r.Result.Ranks {
			n, err := fleet.ParseRank(rank.Rank)
			if err != nil {
				continue
			}
			attainment[n] = append(attainment[n], rank.Attainment)
			goodput[n] = append(goodput[n], duringEvent(rank))
		}
	}
	p.printf("| %s ", policy)
	for _, r := range fleet.Ranks() {
		p.printf("| %s ", spreadOf(attainment[r]).percent())
	}
	for _, r := range fleet.Ranks() {
		p.printf("| %s ", spreadOf(goodput[r]).number())
	}
	p.printf("| %s | %s | %d | %d |\n", spreadOf(moves).number(), recoveryText(recovered), wrong, failed)
}

// recoveryText tells after how many seconds urgent work was back, or in how
// many runs it was not.
func recoveryText(recovered []float64) string {
	never := 0
	for _, r := range recovered {
		if r < 0 {
			never++
		}
	}
	if never > 0 {
		return fmt.Sprintf("not in %d of %d runs", never, len(recovered))
	}
	return spreadOf(recovered).number() + " s"
}

// duringEvent returns the attained requests per second that arrived between
// the start and the end of a flood.
func duringEvent(r load.RankResult) float64 {
	n := 0
	for i, s := range r.Seconds {
		if at := time.Duration(i) * time.Second; at >= floodStart && at < floodEnd {
			n += s.Attained
		}
	}
	return float64(n) / (floodEnd - floodStart).Seconds()
}
