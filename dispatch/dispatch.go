// Package dispatch decides which replica runs a request, whether it may be sent
// again, and when it is refused. It is a state machine without I/O that never
// reads a clock; the control goroutine owns the state.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/retry"
)

// Request is one attempt of a caller.
type Request struct {
	ID      string
	Route   *catalog.Route
	Service string
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	PromptTokens   int
	OutputTokens   int
	Parts          []Part
	// Fingerprint is equal for requests with the same content.
	Fingerprint uint64
	Arrived     time.Time
	// Deadline is when the caller or the route stops waiting.
	Deadline time.Time
}

// Part is one part of a prompt. Key covers all parts before it, the model and
// the adapter.
type Part struct {
	Key    uint64
	Tokens int
}

// Verdict is what to do with a request.
type Verdict uint8

// The verdicts.
const (
	Send Verdict = iota
	Refuse
	// Wait means that the decision is to be asked for again after a time, or when
	// the model arrives.
	Wait
)

// Cause names the reason of a decision in logs and metrics.
type Cause string

// The causes of refusals.
const (
	CauseNone      Cause = ""
	CauseNoReplica Cause = "no-replica"      // none is known, or all are leaving
	CauseNotLoaded Cause = "model-loading"   // no replica holds the model
	CauseNoAdapter Cause = "adapter-waits"   // replicas with the model can't take an adapter now
	CauseNoOrders  Cause = "no-orders"       // no instance can order an adapter now
	CauseUnloading Cause = "model-unloading" // replicas that hold the model unload it
	CauseAllTried  Cause = "all-tried"       // no replica is left that was not tried
	CauseAside     Cause = "replicas-aside"  // all replicas failed recently
	CauseBudget    Cause = "retry-budget"
	CauseAttempts  Cause = "attempts-used"
	CauseCrashes   Cause = "crashes-replicas"
	CauseOverload  Cause = "overload"
	CauseNoTime    Cause = "no-time-left"
)

// WaitCauses are the causes for which a request may wait instead of being refused.
var WaitCauses = []Cause{CauseNotLoaded, CauseUnloading, CauseNoAdapter, CauseNoOrders}

// Decision is the outcome of Choose.
type Decision struct {
	Verdict Verdict
	Cause   Cause
	// RetryAfter is when a refused caller should come back, or how long the request
	// waits.
	RetryAfter time.Duration
	Replica    *catalog.Replica
	// NeedsAdapter says that the adapter is not known to be on the replica.
	NeedsAdapter bool
	// Expected is the estimated time to the first byte of the answer.
	Expected time.Duration
	// Urgency is the level for the engine.
	Urgency int
	// Unread is the reading work that the replica does before the request, and
	// Reading that of the request itself.
	Unread  float64
	Reading float64
	// CachedTokens are the tokens of the prompt that the replica has read before.
	CachedTokens int
	// LoadAge is the age of the load report that the estimate used.
	LoadAge time.Duration
	Running int // requests thought to run or wait on the replica
}

// Options are the fixed inputs of a state.
type Options struct {
	DataCentre string
	// Retries bounds repeated sends, for this instance and each service.
	Retries retry.Limits
	Seed    uint64
}

// LevelCount is the number of urgency levels of engines; 0 is the most urgent.
const LevelCount = 10

const (
	// levelStep spreads the ranks of routes over the levels.
	levelStep = 3
	// firstLevel is the level of the most urgent rank.
	firstLevel = 1
	// lateLevels are added for a request that is expected to miss its goal. It
	// stays before the next rank, and no longer delays those that can still
	// reach their goal.
	lateLevels = 2
)

// level returns the urgency level of a request.
func level(req *Request, late bool) int {
	l := firstLevel + levelStep*max(req.Route.Rank, 0)
	if late {
		l += lateLevels
	}
	return min(l, LevelCount-1)
}

// State is what one instance knows of replicas and of its own requests. It is
// not safe for concurrent use.
type State struct {
	options  Options
	config   *catalog.Config
	replicas map[string]*replica
	services map[string]*service
	crashes  crashes
	// peerCrashes are the counts of the other instances.
	peerCrashes map[uint64]int
	paces       paces
	// noOrders says that no instance can order adapters now; ordersIn is the time
	// until one probably can.
	noOrders bool
	ordersIn time.Duration
	// coming is when the first copy of a model probably arrives.
	coming map[string]time.Time
	random *rand.Rand
}

// service is what is known of all replicas of one service.
type service struct {
	replicas []*replica
	retries  *retry.Budget
	// typical is the moving average of the time to the first byte.
	typical time.Duration
	// Moving averages of the tokens of requests, and of the reading work of one.
	promptTokens float64
	outputTokens float64
	reading      float64
}

// New returns a state without replicas.
func New(options Options) *State {
	return &State{
		options: options, replicas: make(map[string]*replica), services: make(map[string]*service),
		crashes: make(crashes), paces: newPaces(), random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// SetConfig takes over a newer config.
func (s *State) SetConfig(c *catalog.Config) {
	s.config = c
	s.paces.setConfig(c)
}

// SetReplica takes over what a replica says of itself; nil means that it is gone.
func (s *State) SetReplica(id string, info *catalog.Replica) {
	old, known := s.replicas[id]
	if info == nil {
		if known {
			s.detach(old)
			delete(s.replicas, id)
		}
		return
	}
	if known && ((old.info.Born != 0 && info.Born != 0 && old.info.Born != info.Born) || old.info.Address != info.Address || old.info.Service != info.Service) {
		s.detach(old)
		known = false
	}
	if !known {
		r := newReplica(info)
		s.replicas[id] = r
		svc := s.service(info.Service)
		svc.replicas = append(svc.replicas, r)
		return
	}
	old.update(info)
}

func (s *State) detach(r *replica) {
	svc := s.service(r.info.Service)
	for i, other := range svc.replicas {
		if other == r {
			svc.replicas = append(svc.replicas[:i:i], svc.replicas[i+1:]...)
			return
		}
	}
}

func (s *State) service(name string) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{}
		s.services[name] = svc
	}
	return svc
}

func (s *State) budget(svc *service, now time.Time) *retry.Budget {
	if svc.retries == nil {
		svc.retries = retry.New(now, s.options.Retries)
	}
	return svc.retries
}

// SetRetries changes the limits of sends that reach a service once more. The window
// stays as it is.
func (s *State) SetRetries(limits retry.Limits) {
	s.options.Retries = limits
	for _, svc := range s.services {
		if svc.retries != nil {
			svc.retries.SetLimits(limits)
		}
	}
}

// SetAdapter records that an adapter is, or is no longer, on a replica.
func (s *State) SetAdapter(replicaID, model, adapter string, present bool) {
	if r, ok := s.replicas[replicaID]; ok {
		r.setAdapter(model, adapter, present)
	}
}

// SetPeerLoad records what all other instances have in flight on a replica.
func (s *State) SetPeerLoad(now time.Time, replicaID string, load Load) {
	if r, ok := s.replicas[replicaID]; ok {
		r.peers, r.peersAt = load, now
	}
}

// SetMoving records which replicas load or unload a model, with the time until
// they take orders again, and which models are being unloaded or will be, by
// replica.
func (s *State) SetMoving(now time.Time, moving map[string]time.Duration, dropping map[string][]string) {
	for id, r := range s.replicas {
		left, ok := moving[id]
		r.moving, r.movingUntil, r.dropping = ok, now.Add(left), dropping[id]
	}
}

// SetFull records the replicas whose places for adapters are all in use, with
// these adapters as MODEL/ADAPTER.
func (s *State) SetFull(full map[string][]string) {
	for id, r := range s.replicas {
		adapters, ok := full[id]
		r.full = ok
		for _, key := range adapters {
			r.adapters[key] = true
		}
	}
}

// SetOrders records whether adapters can be ordered now, and if not, after what
// time they probably can.
func (s *State) SetOrders(can bool, in time.Duration) { s.noOrders, s.ordersIn = !can, in }

// SetComing records the time until the first copy of each model that is being
// loaded arrives.
func (s *State) SetComing(now time.Time, in map[string]time.Duration) {
	s.coming = make(map[string]time.Time, len(in))
	for model, d := range in {
		s.coming[model] = now.Add(d)
	}
}

// OwnLoad returns what this instance has in flight on each replica, for the
// other instances. Idle replicas that can be reached are left out.
func (s *State) OwnLoad() map[string]Load {
	out := make(map[string]Load)
	for id, r := range s.replicas {
		down := r.unreachable && r.asideFor > 0
		if r.own.Requests > 0 || down {
			load := r.own
			load.Unreachable = down
			load.Adapters = slices.Sorted(maps.Keys(r.inUse))
			load.Models = maps.Clone(r.running)
			out[id] = load
		}
	}
	return out
}
