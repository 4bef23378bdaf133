package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// The unit of values is one replica: a value of 1 is gained when the requests
// that one replica serves in a second meet their latency target and would
// otherwise miss it.
const (
	// planHorizon is the time for which demand is assumed to stay constant. A
	// load that takes longer has no value.
	planHorizon = 8 * time.Second
	// minMoveValue is the value that a move must exceed to be made.
	minMoveValue = 0.015
	// requestedModelValue is the value that a recent request adds to the first
	// copy of a model.
	requestedModelValue = 0.03
	// firstCopyValue is the value of the first copy of a model regardless of
	// demand. secondCopyValue is the value of the second copy, which takes over
	// when the first is lost. singleCopyLossShare is the share of the model's
	// requests that this loss would cost without a second copy.
	firstCopyValue      = 0.06
	secondCopyValue     = 0.02
	singleCopyLossShare = 0.1
	// dataCentreCopyValue is the value of the first copy in a data centre.
	dataCentreCopyValue = 0.005
	// agingValuePerSecond is added for each second that a requested model has
	// had no copy, so that models with little demand are not starved.
	agingValuePerSecond = 0.02
	// storeLoadCost is the cost of a load from the weight store, in addition to
	// the cost of its duration.
	storeLoadCost = 0.005
	// evictionHysteresis is the factor by which the value of an existing copy
	// exceeds that of a new one. It keeps two models from evicting each other
	// alternately.
	evictionHysteresis = 1.3
	// replicaSecondsPerRequest is the time of a replica that one request uses,
	// in seconds.
	replicaSecondsPerRequest = 0.1
	// adapterMissShare is the share of requests with an adapter that find it
	// not loaded on a replica. singleCopyAdapterMissShare is that share for a
	// model with a single copy.
	adapterMissShare, singleCopyAdapterMissShare = 0.1, 0.4
	// Draining a model is estimated to take drainTimePerRequest for each running
	// request. After maxDrainTime, the unload no longer waits for them.
	drainTimePerRequest = 800 * time.Millisecond
	maxDrainTime        = 6 * time.Second
	// drainLossShare is the share of a copy's requests that no other copy can
	// serve while it drains.
	drainLossShare = 0.3
)

// move is a planned load of a model, with the unloads that make room for it.
type move struct {
	model *catalog.Model
	// evictions are the models to unload first, in order. No unload begins
	// before unloadNotBefore, so that instances can stop sending requests for
	// these models.
	evictions       []string
	unloadNotBefore time.Time
	deadline        time.Time // the move is abandoned after this time
	reason          string
}

// moveOption is a possible move and its value.
type moveOption struct {
	target    *replicaView
	evictions []string
	fromStore bool // the load uses the weight store
	value     float64
}

// neededCopy is a model that would gain from one more copy.
type neededCopy struct {
	model       *catalog.Model
	utilization float64
	value       float64 // value of the model's requests
	// adapterValue is the value of the requests that use an adapter.
	adapterValue float64
	// gain is the value of a copy that serves all requests for the model within
	// their latency target.
	gain   float64
	reason string
}

// neededCopies returns the models that would gain from one more copy, highest
// gain first.
func (s *State) neededCopies(view *poolView) []neededCopy {
	var out []neededCopy
	for i := range view.engine.Models {
		m := &view.engine.Models[i]
		d := s.demand[m.Name]
		n := neededCopy{model: m, utilization: d.utilization(), value: d.value(), adapterValue: d.adapterValue()}
		n.gain = n.value*view.missRate(view.modelWaterLevel(m.Name, n.utilization)) + n.adapterValue*view.unplacedShare(m.Name, 0)
		n.reason = "requests wait too long"
		switch len(view.copies[m.Name]) {
		case 0:
			n.reason = "no copy"
			n.gain += firstCopyValue
			if d.requestedWithin(view.now, recentDemandWindow) {
				n.gain += requestedModelValue + agingValuePerSecond*s.timeWithoutCopy(view.now, m.Name).Seconds()
			}
		case 1:
			if n.gain < minMoveValue {
				n.reason = "single copy"
			}
			n.gain += view.secondCopyValue() + singleCopyLossShare*n.value
		}
		if n.gain >= minMoveValue {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b neededCopy) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.model.Name, b.model.Name))
	})
	return out
}

// bestMove returns the most valuable move for a needed copy. It returns nil if
// there is none, or if the replica of that move is busy: waiting for it is then
// worth more than any other move. storeReady permits loads from the weight store.
func (s *State) bestMove(view *poolView, n neededCopy, storeReady bool) *moveOption {
	var best *moveOption
	minValue := minMoveValue
	for _, rv := range view.replicas {
		if slices.Contains(rv.models, n.model.Name) || rv.replica.holds(n.model.Name) || rv.replica.loading == unknownModel {
			continue
		}
		if !storeReady && !rv.replica.hasLocalWeights(n.model.Name) {
			continue
		}
		if o := s.evaluateMove(view, rv, n, minValue); o != nil {
			best, minValue = o, o.value
		}
	}
	if best == nil || !best.target.replica.idle(view.now) {
		return nil
	}
	return best
}

// evaluateMove returns the move that loads a needed copy on one replica, or nil
// if no room can be made or the move's value does not exceed minValue.
func (s *State) evaluateMove(view *poolView, rv *replicaView, n neededCopy, minValue float64) *moveOption {
	o := &moveOption{target: rv, fromStore: !rv.replica.hasLocalWeights(n.model.Name)}
	duration := rv.replica.timeUntilIdle(view.now) + s.loadTime(rv.replica, n.model.Name)
	if n.gain*view.remainingShare(duration)+dataCentreCopyValue <= minValue {
		return nil
	}
	load, loss, drainTime, ok := view.planEvictions(o, n)
	if !ok || len(o.evictions) > 0 && view.keepsInitialCopies() {
		return nil
	}
	duration += drainTime
	otherValue := 0.0
	for _, model := range rv.models {
		if d := s.demand[model]; rv.loadByModel[model] > 0 && !slices.Contains(o.evictions, model) {
			otherValue += d.value() * rv.loadByModel[model] / d.utilization()
		}
	}
	level := waterLevelOrUnserved(n.utilization, append(view.loads(n.model.Name, nil), load))
	gain := n.gain - n.value*view.missRate(level) - n.adapterValue*view.unplacedShare(n.model.Name, rv.freeAdapterSlots) - otherValue*(view.missRate(max(level, load))-view.missRate(load))
	o.value = gain*view.remainingShare(duration) - loss - view.blockedAdapterCost(rv, duration)
	if !view.hasCopyInDataCentre(n.model.Name, rv.replica.info.DataCentre) {
		o.value += dataCentreCopyValue
	}
	if o.fromStore {
		o.value -= storeLoadCost
	}
	if o.value <= minValue {
		return nil
	}
	return o
}

// planEvictions chooses the models to unload for a needed copy. It returns the
// replica's load without them, the value lost, and the time until they are
// drained. ok is false if they make too little room before their loss reaches
// the gain.
func (view *poolView) planEvictions(o *moveOption, n neededCopy) (load, loss float64, drainTime time.Duration, ok bool) {
	rv := o.target
	load = rv.load
	neededMB := n.model.WeightsMB - rv.freeMB
	if neededMB <= 0 {
		return load, 0, 0, true
	}
	for _, v := range view.evictionCandidatesOn(rv) {
		o.evictions = append(o.evictions, v.model)
		load, loss, drainTime = load-rv.loadByModel[v.model], loss+v.loss, max(drainTime, v.drainTime)
		if neededMB -= v.weightsMB; neededMB <= 0 {
			return load, loss, drainTime, true
		}
		if loss >= n.gain {
			break
		}
	}
	return 0, 0, 0, false
}

// timeUntilIdle returns the expected time until the replica can begin a move.
func (r *replica) timeUntilIdle(now time.Time) time.Duration {
	switch {
	case r.backsOff(now):
		return r.backoffUntil.Sub(now)
	case r.loading != "":
		return max(r.loadDue.Sub(now), evictionNotice)
	case r.move != nil || r.unloading != "":
		return maxDrainTime
	case !r.idle(now):
		return evictionNotice
	}
	return 0
}

// blockedAdapterCost returns the cost of the adapter requests that a replica
// can't serve during a move, when it loads no adapters.
func (view *poolView) blockedAdapterCost(rv *replicaView, duration time.Duration) float64 {
	requests := 0.0
	for _, model := range rv.models {
		rate := view.state.demand[model].adapterRate()
		if n := len(view.copies[model]); n > 1 {
			requests += rate / float64(n) * adapterMissShare
		} else {
			requests += rate * singleCopyAdapterMissShare
		}
	}
	return requests * replicaSecondsPerRequest * duration.Seconds() / view.horizon.Seconds()
}

func (view *poolView) hasCopyInDataCentre(model, dataCentre string) bool {
	return slices.ContainsFunc(view.copies[model], func(rv *replicaView) bool { return rv.replica.info.DataCentre == dataCentre })
}

// evictionCandidate is a model that can be unloaded from a replica, with the
// value and the time that this costs.
type evictionCandidate struct {
	model     string
	weightsMB float64
	loss      float64
	drainTime time.Duration // expected time until its running requests have ended
}

// evictionCandidatesOn returns the models that can be unloaded from a replica,
// lowest loss first.
func (view *poolView) evictionCandidatesOn(rv *replicaView) []evictionCandidate {
	if rv.evictionCandidates != nil {
		return rv.evictionCandidates
	}
	rv.evictionCandidates = []evictionCandidate{}
	for _, model := range rv.replica.models() {
		declared := view.engine.Model(model)
		if declared == nil || rv.replica.isEvicting(model) {
			continue
		}
		v := evictionCandidate{model: model, weightsMB: declared.WeightsMB, loss: view.evictionLoss(rv, model), drainTime: evictionNotice}
		if running := rv.replica.runningRequests[model]; running > 0 {
			v.drainTime += min(time.Duration(running)*drainTimePerRequest, maxDrainTime)
		}
		// While a copy drains, it serves no new requests.
		share := view.state.demand[model].value() / float64(max(1, len(view.copies[model])))
		v.loss += share * v.drainTime.Seconds() / view.horizon.Seconds() * drainLossShare
		rv.evictionCandidates = append(rv.evictionCandidates, v)
	}
	slices.SortFunc(rv.evictionCandidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.model, b.model))
	})
	return rv.evictionCandidates
}

// evictionLoss returns the value that is lost when a replica unloads a model.
func (view *poolView) evictionLoss(rv *replicaView, model string) float64 {
	d := view.state.demand[model]
	loss := 0.0
	if d.value() > 0 {
		loss = d.value() * (view.missRate(waterLevelOrUnserved(d.utilization(), view.loads(model, rv))) - view.missRate(view.modelWaterLevel(model, d.utilization())))
	}
	switch n := len(view.copies[model]); {
	case n <= 1:
		loss += firstCopyValue + secondCopyValue
		if d.requestedWithin(view.now, recentDemandWindow) {
			loss += requestedModelValue
		}
	case n == 2:
		loss += view.secondCopyValue() + singleCopyLossShare*d.value()
	default:
		loss += secondCopyValue / float64(n*n)
	}
	return loss * evictionHysteresis
}
