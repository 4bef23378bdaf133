package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// Values are in replicas: a value of 1 means that the requests that one replica
// serves in a second are served on time that otherwise would not be.
const (
	// horizon is the time for which demand is thought to stay as it is. A load
	// that takes longer is worth nothing.
	horizon = 8 * time.Second
	// minValue is the value from which on a move is made.
	minValue = 0.015
	// askedValue is the value of a copy of a model that was asked for of late
	// and has none, beyond that of its demand.
	askedValue = 0.03
	// reachValue is the same of a model that nobody has asked for, and spareValue
	// that of the second copy, which stands in when the first is lost; spareShare
	// is the part of the requests that the loss of the first copy would cost.
	reachValue = 0.06
	spareValue = 0.02
	spareShare = 0.1
	// placeValue is the value of a first copy in a data centre.
	placeValue = 0.005
	// agingValue is added for each second that a model which is asked for has had
	// no copy, so that models which are asked for little get their turn.
	agingValue = 0.02
	// storeCost is the cost of a load from the weight store beside its time.
	storeCost = 0.005
	// dropFactor is how many times as much a copy that exists counts as one that
	// does not, so that two models do not take each other's room in turn.
	dropFactor = 1.3
	// requestWork is the share of a second that the work of one request takes.
	requestWork = 0.1
	// missingAdapters is the share of requests with an adapter that find it
	// missing on a replica, and soleMissing that on the only copy of a model.
	missingAdapters, soleMissing = 0.1, 0.4
	// drainOne is the time until one request that runs on a replica has ended, and
	// drainMost that until all have.
	drainOne  = 800 * time.Millisecond
	drainMost = 6 * time.Second
	// drainLoss is the share of the requests for a copy that find no other place
	// while it is drained.
	drainLoss = 0.3
)

// move is a load of a model, with the unloads that make room for it.
type move struct {
	model *catalog.Model
	// victims give way first, in order; the first one not before from, so that
	// instances stop sending requests for them.
	victims []string
	from    time.Time
	until   time.Time // when the move is given up
	reason  string
}

// choice is a move that could be made, and its value.
type choice struct {
	site    *site
	victims []string
	store   bool // a load from the weight store
	value   float64
}

// need is a model that should get one more copy.
type need struct {
	model *catalog.Model
	work  float64
	value float64 // of its requests
	// adapters is the value of the requests that use an adapter.
	adapters float64
	// gain is the value of a copy that serves all its requests on time.
	gain   float64
	reason string
}

// needs lists the models that should get one more copy, most valuable first.
func (s *State) needs(c *census) []need {
	var out []need
	for i := range c.engine.Models {
		m := &c.engine.Models[i]
		d := s.demand[m.Name]
		n := need{model: m, work: d.work(), value: d.value(), adapters: d.adapterValue()}
		n.gain = n.value*missed(c.levelOf(m.Name, n.work)) + n.adapters*c.shortage(m.Name, 0)
		n.reason = "requests wait too long"
		switch len(c.copies[m.Name]) {
		case 0:
			n.reason = "no copy"
			n.gain += reachValue
			if d.recent(c.now, recentDemand) {
				n.gain += askedValue + agingValue*s.missingFor(c.now, m.Name).Seconds()
			}
		case 1:
			if n.gain < minValue {
				n.reason = "single copy"
			}
			n.gain += spareValue + spareShare*n.value
		}
		if n.gain >= minValue {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.model.Name, b.model.Name))
	})
	return out
}

// best returns the most valuable move for a need, or nil. It is nil too if it
// pays to wait for a replica that is busy now. store says whether the weight store
// serves one more load.
func (s *State) best(c *census, n need, store bool) *choice {
	var best *choice
	least := minValue
	for _, t := range c.sites {
		if slices.Contains(t.models, n.model.Name) || t.r.holds(n.model.Name) || t.r.loading == unknownModel {
			continue
		}
		if o := s.choice(c, t, n, least); o != nil && (store || !o.store) {
			best, least = o, o.value
		}
	}
	if best == nil || !best.site.r.idle(c.now) {
		return nil
	}
	return best
}

// choice returns the move of a model to one replica, or nil if there is no room
// or its value is not above least.
func (s *State) choice(c *census, t *site, n need, least float64) *choice {
	o := &choice{site: t, store: !t.r.atHand(n.model.Name)}
	takes := t.r.busyFor(c.now) + s.loadTime(t.r, n.model.Name)
	if n.gain*remaining(takes)+placeValue <= least {
		return nil
	}
	load, loss, drain, ok := c.makeRoom(o, n)
	if !ok {
		return nil
	}
	takes += drain
	others := 0.0
	for _, model := range t.models {
		if d := s.demand[model]; t.flow[model] > 0 && !slices.Contains(o.victims, model) {
			others += d.value() * t.flow[model] / d.work()
		}
	}
	at := levelWith(n.work, append(c.loads(n.model.Name, nil), load))
	gain := n.gain - n.value*missed(at) - n.adapters*c.shortage(n.model.Name, t.places) - others*(missed(max(at, load))-missed(load))
	o.value = gain*remaining(takes) - loss - c.blocked(t, takes)
	if !c.inDataCentre(n.model.Name, t.r.info.DataCentre) {
		o.value += placeValue
	}
	if o.store {
		o.value -= storeCost
	}
	if o.value <= least {
		return nil
	}
	return o
}

// remaining returns the part of the horizon that is left after a time.
func remaining(takes time.Duration) float64 {
	return max(0, 1-takes.Seconds()/horizon.Seconds())
}

// makeRoom chooses the models that give way for a need. It returns the load of
// the replica without them, what is lost with them, and the time until they are
// unloaded; false if there is no room.
func (c *census) makeRoom(o *choice, n need) (load, loss float64, drain time.Duration, ok bool) {
	t := o.site
	load = t.load
	missing := n.model.WeightsMB - t.free
	if missing <= 0 {
		return load, 0, 0, true
	}
	for _, v := range c.victimsOf(t) {
		o.victims = append(o.victims, v.model)
		load, loss, drain = load-t.flow[v.model], loss+v.loss, max(drain, v.drain)
		if missing -= v.mb; missing <= 0 {
			return load, loss, drain, true
		}
		if loss >= n.gain {
			break
		}
	}
	return 0, 0, 0, false
}

// busyFor returns the time until the replica can begin a move.
func (r *replica) busyFor(now time.Time) time.Duration {
	switch {
	case r.loading != "":
		return max(r.due.Sub(now), announceTime)
	case r.move != nil || r.dropping != "":
		return drainMost
	case !r.idle(now):
		return announceTime
	}
	return 0
}

// blocked returns the cost of the time for which a replica takes no adapters.
func (c *census) blocked(t *site, takes time.Duration) float64 {
	requests := 0.0
	for _, model := range t.models {
		rate := c.state.demand[model].adapterRate()
		if n := len(c.copies[model]); n > 1 {
			requests += rate / float64(n) * missingAdapters
		} else {
			requests += rate * soleMissing
		}
	}
	return requests * requestWork * takes.Seconds() / horizon.Seconds()
}

func (c *census) inDataCentre(model, dataCentre string) bool {
	return slices.ContainsFunc(c.copies[model], func(t *site) bool { return t.r.info.DataCentre == dataCentre })
}

// victim is a model that may give way on a replica, and what is lost with it.
type victim struct {
	model string
	mb    float64
	loss  float64
	drain time.Duration // until no request uses it
}

// victimsOf returns the models that may give way on a replica, cheapest first.
func (c *census) victimsOf(t *site) []victim {
	if t.victims != nil {
		return t.victims
	}
	t.victims = []victim{}
	for _, model := range t.r.models() {
		declared := c.engine.Model(model)
		if declared == nil || t.r.givesWay(model) {
			continue
		}
		v := victim{model: model, mb: declared.WeightsMB, loss: c.loss(t, model), drain: announceTime}
		if running := t.r.running[model]; running > 0 {
			v.drain += min(time.Duration(running)*drainOne, drainMost)
		}
		// While it is drained, its requests have one copy less.
		share := c.state.demand[model].value() / float64(max(1, len(c.copies[model])))
		v.loss += share * v.drain.Seconds() / horizon.Seconds() * drainLoss
		t.victims = append(t.victims, v)
	}
	slices.SortFunc(t.victims, func(a, b victim) int { return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.model, b.model)) })
	return t.victims
}

// loss returns the value of a copy that exists.
func (c *census) loss(t *site, model string) float64 {
	d := c.state.demand[model]
	lost := 0.0
	if d.value() > 0 {
		lost = d.value() * (missed(levelWith(d.work(), c.loads(model, t))) - missed(c.levelOf(model, d.work())))
	}
	switch n := len(c.copies[model]); {
	case n <= 1:
		lost += reachValue + spareValue
		if d.recent(c.now, recentDemand) {
			lost += askedValue
		}
	case n == 2:
		lost += spareValue + spareShare*d.value()
	default:
		lost += spareValue / float64(n*n)
	}
	return lost * dropFactor
}
