package residency

import (
	"cmp"
	"math"
	"slices"
)

// The forecast addresses demand that moves by several places in the order of models by
// demand while a load from the weight store is in progress. Averages show a move seconds
// after it began, so that its copies come when the next move begins.
//
// Invariant: in a pool without a slow store, the forecast is the measured demand.

const (
	// riseFactor is the weight of the difference between the recent and the usual
	// average in the forecast of a model whose demand rises.
	riseFactor = 1
	// moveDistance is the number of places by which a model may move up in the order
	// by demand, and moveProbability the probability with which a plan counts that it
	// does.
	moveDistance    = 5
	moveProbability = 0.4
)

// forecast is the demand for a model that the plan expects.
type forecast struct {
	utilization, value float64
	// movedUtilization and movedValue are the demand if the model moves up by
	// moveDistance places.
	movedUtilization, movedValue float64
}

// newForecasts returns the forecast for each model in demand.
func (view *poolView) newForecasts() map[string]*forecast {
	out := make(map[string]*forecast)
	var order []*forecast
	for i := range view.engine.Models {
		name := view.engine.Models[i].Name
		d := view.state.demand[name]
		f := &forecast{utilization: d.utilization(), value: d.value()}
		if f.value <= 0 && f.utilization <= 0 {
			continue
		}
		if rise := d.recentValueRate - d.valueRate; view.slowStore && rise > 0 && d.valueRate > 0 {
			growth := 1 + riseFactor*rise/d.valueRate
			f.utilization, f.value = f.utilization*growth, f.value*growth
		}
		out[name] = f
		order = append(order, f)
	}
	if view.slowStore {
		slices.SortStableFunc(order, func(a, b *forecast) int { return cmp.Compare(b.value, a.value) })
		for k, f := range order {
			above := order[max(0, k-moveDistance)]
			f.movedUtilization, f.movedValue = above.utilization, above.value
		}
	}
	return out
}

// forecast returns the forecast for a model.
func (view *poolView) forecast(model string) forecast {
	if f := view.forecasts[model]; f != nil {
		return *f
	}
	return forecast{}
}

// missedValue returns the value of the requests for a model that miss their target if
// its copies are on the given sites, which it sorts.
func (view *poolView) missedValue(f forecast, sites []site) float64 {
	missed := f.value * missRate(waterLevelOrUnserved(f.utilization, sites))
	if view.slowStore && f.movedValue > 0 {
		moved := f.movedValue * missRate(waterLevelOrUnserved(f.movedUtilization, sites))
		missed = (1-moveProbability)*missed + moveProbability*math.Max(missed, moved)
	}
	return missed
}

// missedNow returns the value of the requests for a model that miss their target with the
// measured demand, or in a pool without a slow store with the forecast.
func (view *poolView) missedNow(model string) float64 {
	if !view.slowStore {
		return math.Inf(1)
	}
	d := view.state.demand[model]
	return d.value() * missRate(view.modelWaterLevel(model, d.utilization()))
}
