package compare

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/load"
)

// medianRange is the median, the minimum and the maximum of a list of values.
type medianRange struct{ median, low, high float64 }

func medianRangeOf(values []float64) medianRange {
	if len(values) == 0 {
		return medianRange{}
	}
	s := slices.Sorted(slices.Values(values))
	return medianRange{median: s[len(s)/2], low: s[0], high: s[len(s)-1]}
}

func (s medianRange) percent() string {
	return fmt.Sprintf("%.1f%% (%.1f–%.1f)", 100*s.median, 100*s.low, 100*s.high)
}

func (s medianRange) number() string {
	return fmt.Sprintf("%.1f (%.1f–%.1f)", s.median, s.low, s.high)
}

// WriteMarkdown writes a Markdown table for each case, with medians and ranges
// over the seeds.
func WriteMarkdown(w io.Writer, o Options, runs []Run) error {
	p := printer{w: w}
	p.printf("%d instances, %d replicas, %d seeds; the fleet generates at most %.0f tokens/s.\n", o.Instances, o.Deployment.Replicas, len(o.Seeds), fleetTokenRate(o.Deployment))
	for _, c := range o.Cases {
		p.printf("\n### %s\n\nTarget: %s.\n\n", c.Name, c.Target)
		p.printf("| policy | urgent attained | prompt attained | patient attained | urgent goodput/s | prompt goodput/s | patient goodput/s | moves | urgent back after | wrong answers | failed runs |\n")
		p.printf("|---|---|---|---|---|---|---|---|---|---|---|\n")
		for _, policy := range o.Policies {
			p.writePolicyRow(policy, filterRuns(runs, c, policy))
		}
	}
	return p.err
}

func filterRuns(runs []Run, c Case, policy Policy) []Run {
	var out []Run
	for _, r := range runs {
		if r.Case.Name == c.Name && r.Policy == policy {
			out = append(out, r)
		}
	}
	return out
}

// printer writes formatted text until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) writePolicyRow(policy Policy, runs []Run) {
	var attainment, goodput [fleet.RankCount][]float64
	var moves, recoveryTimes []float64
	wrong, failed := 0, 0
	for _, r := range runs {
		if r.Err != nil || r.Result == nil {
			failed++
			continue
		}
		moves = append(moves, float64(r.PlannedMoves))
		recoveryTimes = append(recoveryTimes, r.RecoveryTime.Seconds())
		wrong += r.Result.WrongAnswers()
		for _, rank := range r.Result.Ranks {
			n, err := fleet.ParseRank(rank.Rank)
			if err != nil {
				continue
			}
			attainment[n] = append(attainment[n], rank.Attainment)
			goodput[n] = append(goodput[n], floodGoodput(rank))
		}
	}
	p.printf("| %s ", policy)
	for _, r := range fleet.Ranks() {
		p.printf("| %s ", medianRangeOf(attainment[r]).percent())
	}
	for _, r := range fleet.Ranks() {
		p.printf("| %s ", medianRangeOf(goodput[r]).number())
	}
	p.printf("| %s | %s | %d | %d |\n", medianRangeOf(moves).number(), recoveryText(recoveryTimes), wrong, failed)
}

// recoveryText formats the recovery times of urgent requests, or the number of
// runs without recovery. A negative time stands for no recovery.
func recoveryText(recoveryTimes []float64) string {
	never := 0
	for _, r := range recoveryTimes {
		if r < 0 {
			never++
		}
	}
	if never > 0 {
		return fmt.Sprintf("not in %d of %d runs", never, len(recoveryTimes))
	}
	return medianRangeOf(recoveryTimes).number() + " s"
}

// floodGoodput returns the attained requests per second among those sent between
// floodStart and floodEnd.
func floodGoodput(r load.RankResult) float64 {
	n := 0
	for i, s := range r.Seconds {
		if at := time.Duration(i) * time.Second; at >= floodStart && at < floodEnd {
			n += s.Attained
		}
	}
	return float64(n) / (floodEnd - floodStart).Seconds()
}
