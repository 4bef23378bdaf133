package capacity

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func samplesOf(f func(x float64) float64) []Sample {
	var out []Sample
	for _, x := range []float64{50, 100, 200, 400} {
		out = append(out, Sample{x, f(x)})
	}
	return out
}

// Guards against an extrapolation along the wrong curve.
func TestFitSelectsBestCurve(t *testing.T) {
	is := is.New(t)
	line := fit(samplesOf(func(x float64) float64 { return 3 + 2*x }))
	is.True(!line.IsPowerLaw)
	is.True(math.Abs(line.At(1000)-2003) < 1e-6)
	is.True(line.SlopeError < 1e-6)
	square := fit(samplesOf(func(x float64) float64 { return x * x / 10 }))
	is.True(square.IsPowerLaw)
	is.True(math.Abs(square.Slope-2) < 1e-9)
	is.True(math.Abs(square.At(1000)-1e5) < 1e-3)
	flat := fit(samplesOf(func(float64) float64 { return 7 }))
	is.True(math.Abs(flat.At(1000)-7) < 1e-9)
}

// Guards against a fit to noisy samples that reports no uncertainty.
func TestFitReportsSlopeError(t *testing.T) {
	is := is.New(t)
	f := fit([]Sample{{1, 1}, {2, 3}, {3, 2}, {4, 4}})
	is.True(f.R2 < 0.7)
	is.True(f.SlopeError > 0.2)
}

// Guards against a cost that is counted twice, in its own line and in the line
// that contains it.
func TestPartsAreNotAddedUp(t *testing.T) {
	is := is.New(t)
	samples := []Sample{{1, 10}, {2, 10}}
	lines := []Line{
		{DesignSize: 2, Samples: samples, Budget: Processor, BudgetFactor: 1},
		{DesignSize: 2, Samples: samples, Budget: Processor, BudgetFactor: 1, IsPart: true},
		{DesignSize: 2, Samples: samples, Budget: DecisionTime, BudgetFactor: 1},
		{DesignSize: 2, Samples: samples, Budget: DecisionTime, BudgetFactor: 0.1},
	}
	load, found := budgetLoad(lines, Processor)
	is.True(found)
	is.Equal(load, 10.0)
	load, _ = budgetLoad(lines, DecisionTime) // the largest line, since the limit applies to each line
	is.Equal(load, 10.0)
	_, found = budgetLoad(lines, StoreReads)
	is.True(!found)
	is.Equal(len(LinesOverBudget(lines)), 1) // only the decision that takes 10 µs exceeds its budget
}

// Guards against a quick measurement that leaves out a size, and against a table
// that leaves out a line.
func TestQuickMeasurementHasEveryLine(t *testing.T) {
	is := is.New(t)
	lines, err := Measure(t.Context(), Options{Quick: true, Groups: []string{"records"}})
	is.NoErr(err)
	is.Equal(len(lines), 6)
	var text strings.Builder
	is.NoErr(WriteMarkdown(&text, lines))
	for _, l := range lines {
		is.Equal(len(l.Samples), 2)
		is.True(l.Samples[1].Cost > l.Samples[0].Cost)
		is.True(strings.Contains(text.String(), l.Name))
	}
}
