package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line or a power law fitted to the samples of a Line.
type Fit struct {
	// IsPowerLaw selects the power law Base · size^Slope instead of the straight
	// line Base + Slope · size.
	IsPowerLaw bool
	Base       float64
	Slope      float64
	// SlopeError is the standard error of Slope, or NaN for fewer than three samples.
	SlopeError float64
	R2         float64 // coefficient of determination of the costs, not of their logarithms
}

// fit fits a straight line and a power law and returns the one with the smaller
// sum of squared residuals of the costs, unless the line has a negative base.
func fit(samples []Sample) Fit {
	xs, ys := make([]float64, len(samples)), make([]float64, len(samples))
	positive := true
	for i, s := range samples {
		xs[i], ys[i] = s.Size, s.Cost
		positive = positive && s.Size > 0 && s.Cost > 0
	}
	best := regression(xs, ys)
	best.R2 = best.rSquared(samples)
	if !positive || len(samples) < 3 {
		return best
	}
	logX, logY := make([]float64, len(xs)), make([]float64, len(ys))
	for i := range xs {
		logX[i], logY[i] = math.Log(xs[i]), math.Log(ys[i])
	}
	power := regression(logX, logY)
	power.IsPowerLaw, power.Base = true, math.Exp(power.Base)
	power.R2 = power.rSquared(samples)
	// A straight line with a negative base predicts negative costs for small sizes,
	// so a power law that fits well is preferred to it.
	if power.R2 > best.R2 || best.Base < 0 && power.R2 > 0.9 {
		return power
	}
	return best
}

func regression(xs, ys []float64) Fit {
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Base: base, Slope: slope, SlopeError: math.NaN()}
	if len(xs) > 2 {
		residuals := 0.0
		for i := range xs {
			d := ys[i] - base - slope*xs[i]
			residuals += d * d
		}
		spread := stat.Variance(xs, nil) * float64(len(xs)-1)
		f.SlopeError = math.Sqrt(residuals / float64(len(xs)-2) / spread)
	}
	return f
}

// At returns the cost that the curve predicts for a size.
func (f Fit) At(size float64) float64 {
	if f.IsPowerLaw {
		return f.Base * math.Pow(size, f.Slope)
	}
	return f.Base + f.Slope*size
}

// rSquared returns the coefficient of determination of the costs of the samples.
func (f Fit) rSquared(samples []Sample) float64 {
	mean := 0.0
	for _, s := range samples {
		mean += s.Cost / float64(len(samples))
	}
	var residual, total float64
	for _, s := range samples {
		residual += math.Pow(s.Cost-f.At(s.Size), 2)
		total += math.Pow(s.Cost-mean, 2)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

// String returns the formula of the curve with three significant digits.
func (f Fit) String() string {
	if f.IsPowerLaw {
		return fmt.Sprintf("%.3g · n^(%.2f ± %.2f)", f.Base, f.Slope, f.SlopeError)
	}
	return fmt.Sprintf("%.3g + (%.3g ± %.2g) · n", f.Base, f.Slope, f.SlopeError)
}

// AtDesignSize returns the cost of the line at the design size and its fit. A
// sample measured at the design size takes precedence over the fit.
func (l Line) AtDesignSize() (float64, Fit) {
	f := fit(l.Samples)
	for _, s := range l.Samples {
		if s.Size == l.DesignSize {
			return s.Cost, f
		}
	}
	return max(0, f.At(l.DesignSize)), f
}

// BudgetUse returns the cost at the design size in the unit of the line's budget.
func (l Line) BudgetUse() float64 {
	cost, _ := l.AtDesignSize()
	return cost * l.BudgetFactor
}
