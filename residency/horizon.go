package residency

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// The rules in this file address a pool whose demand is very uneven and moves within
// seconds, while a load from the weight store takes longer than planHorizon and two
// copies of each model exceed the memory of all replicas. With the rules for other
// pools, a load from the store has no value there: the models in demand get copies
// only on replicas that have their weights, and the memory of the others goes to
// second copies of models without demand.
//
// Invariant: a pool without these properties is planned as if the rules did not exist.

const (
	// slowStoreHorizonFactor is the ratio of the horizon to the load time from the
	// weight store in a pool with a slow store. Demand lasts for about as long after a
	// load as the load takes.
	slowStoreHorizonFactor = 2
	// maxStoreLoadShare is the part of a pool's replicas that can load from a slow
	// store at once. They load no adapters meanwhile.
	maxStoreLoadShare = 0.5
)

// poolTraits are the properties of a pool, from the config and the number of its
// replicas, on which the rules of the plan depend.
type poolTraits struct {
	// horizon is the time for which demand is assumed to stay constant. A load that
	// takes longer has no value.
	horizon time.Duration
	// slowStore is true if each load from the weight store takes longer than
	// planHorizon.
	slowStore bool
	// scarce is true if the replicas can't hold two copies of each model and the
	// config is one of a deployment that expects this: the store is slow, or
	// customers compete for capacity.
	scarce bool
}

// newPoolTraits returns the traits of an engine's pool with a number of replicas.
func newPoolTraits(config *catalog.Config, e *catalog.Engine, replicas int) poolTraits {
	t := poolTraits{horizon: planHorizon}
	if len(e.Models) == 0 {
		return t
	}
	shortest, totalMB := e.Models[0].StoreLoadTime, 0.0
	for i := range e.Models {
		shortest = min(shortest, e.Models[i].StoreLoadTime)
		totalMB += e.Models[i].WeightsMB
	}
	if shortest > planHorizon {
		t.slowStore, t.horizon = true, slowStoreHorizonFactor*shortest
	}
	perReplica := int(e.WeightsMB * float64(len(e.Models)) / max(totalMB, 1))
	t.scarce = (t.slowStore || config.HasCustomers()) && 2*len(e.Models) > perReplica*replicas
	return t
}

// remainingShare returns the share of the horizon that is left after the duration.
func (t poolTraits) remainingShare(duration time.Duration) float64 {
	return max(0, 1-duration.Seconds()/t.horizon.Seconds())
}

// secondCopyValue returns the value of the second copy of a model regardless of
// demand. Where memory is scarce there is none: the copy would occupy what models in
// demand need.
func (t poolTraits) secondCopyValue() float64 {
	if t.scarce {
		return 0
	}
	return secondCopyValue
}

// keepsInitialCopies reports whether no model may be evicted because memory is scarce and
// no request has shown the demand yet. The copies at the start are the only sign of it
// until then: models that are expected to be busy have several. Evicting these for models
// that nobody asked for left the busiest model with 3 of its replicas.
func (view *poolView) keepsInitialCopies() bool {
	if !view.scarce {
		return false
	}
	for i := range view.engine.Models {
		if view.state.demand[view.engine.Models[i].Name].utilization() > 0 {
			return false
		}
	}
	return true
}
