// Package dispatch decides, for the edge program, which replica runs a request and
// whether the request waits, is retried or is refused. It owns what one instance
// knows of replicas, their load and its own requests in flight, and learns how
// quickly replicas answer. It does no I/O and reads no clock; the control goroutine
// owns the state. Package routing, used by the serve program, only chooses among
// endpoints, and does so by their load instead of the estimated time to the first
// byte.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/retry"
	"github.com/hyssophaven/hyssophaven/suspect"
)

// Request is a caller's request as dispatch needs it. If the caller retries it,
// the retry is a new Request.
type Request struct {
	ID      string
	Route   *catalog.Route
	Service string
	// Customer is nil if the config names no customers or the route is public.
	Customer *catalog.Customer
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	PromptTokens   int
	OutputTokens   int
	Parts          []Part
	// SharedParts identifies the parts that other requests can have too: all but the
	// last.
	SharedParts []suspect.Part
	// Fingerprint is equal for requests with the same content.
	Fingerprint uint64
	Arrived     time.Time
	// Deadline is when the caller gives up or the route's timeout ends.
	Deadline time.Time
}

// Rank returns the rank of the request's customer, or that of its route if the customer
// has none.
func (r *Request) Rank() int {
	if r.Customer != nil && r.Customer.Rank != nil {
		return *r.Customer.Rank
	}
	return r.Route.Rank
}

// Part is one part of a prompt. Key hashes the part together with all parts
// before it, the model and the adapter.
type Part struct {
	Key    uint64
	Tokens int
}

// Verdict is the action to take for a request.
type Verdict uint8

// The verdicts.
const (
	Send Verdict = iota
	Refuse
	// Wait means that Choose must be called again after Decision.RetryAfter or when
	// the model is loaded, whichever comes first.
	Wait
)

// Cause names the reason of a decision in logs and metrics.
type Cause string

// The causes of refusals and waits.
const (
	CauseNone              Cause = ""
	CauseNoReplica         Cause = "no-replica"      // no replica is known, or all are leaving
	CauseNotLoaded         Cause = "model-loading"   // no replica holds the model
	CauseAdapterBlocked    Cause = "adapter-waits"   // replicas with the model can't load an adapter now
	CauseOrdersUnavailable Cause = "no-orders"       // no instance can order adapter loads now
	CauseUnloading         Cause = "model-unloading" // the replicas that hold the model unload it
	CauseAllTried          Cause = "all-tried"       // no untried replica is left
	CauseEjected           Cause = "replicas-aside"  // all replicas are ejected after failures
	CauseBackoff           Cause = "replicas-paused" // all replicas have asked for a pause
	CauseSilent            Cause = "replicas-silent" // the replicas that could take the request over are silent too
	CauseRetryBudget       Cause = "retry-budget"
	CauseMaxAttempts       Cause = "attempts-used"
	CauseCrashes           Cause = "crashes-replicas"
	CauseBlockedPart       Cause = "part-crashes-replicas" // a part of the prompt is blocked
	CauseOverload          Cause = "overload"
	CauseDeadline          Cause = "no-time-left"
	CauseRateLimit         Cause = "rate-limit"        // the customer has used up its limit
	CauseStopping          Cause = "instance-stopping" // the answer would begin after this instance has stopped
)

// WaitCauses are the causes for which a request can wait instead of being refused.
var WaitCauses = []Cause{CauseNotLoaded, CauseUnloading, CauseAdapterBlocked, CauseOrdersUnavailable, CauseBackoff, CauseFull, CauseRetryBudget}

// Decision is the outcome of Choose.
type Decision struct {
	Verdict Verdict
	Cause   Cause
	// RetryAfter is the time after which a refused caller should try again, or
	// after which a waiting request is decided again.
	RetryAfter time.Duration
	Replica    *catalog.Replica
	// NeedsAdapter reports that the adapter is not known to be on the replica.
	NeedsAdapter bool
	// Expected is the estimated time to the first byte of the answer.
	Expected time.Duration
	// Urgency is the urgency level sent to the engine; 0 is the most urgent.
	Urgency int
	// PendingPrefill is the prefill work that the replica does before the request,
	// and PrefillWork is the request's own, in tokens of a model with
	// LatencyProfile.PerToken 1.
	PendingPrefill float64
	PrefillWork    float64
	// CachedTokens is the number of prompt tokens expected in the replica's
	// prefix cache.
	CachedTokens int
	// PrefixSource is the replica from whose KV cache Replica is to take the shared
	// parts of the prompt that it lacks, or nil.
	PrefixSource *catalog.Replica
	believed     believedPrefix // what CachedTokens was based on
	// LoadAge is the age of the replica's last load report.
	LoadAge time.Duration
	Running int // estimated requests that run or wait on the replica
	// Slowness is the factor for the replica's present slowness in Expected; 0 if the
	// replicas of the service do not state it.
	Slowness float64
	// BlockedPart is the index in SharedParts of the blocked part, for a refusal with
	// CauseBlockedPart.
	BlockedPart int
}

// Options configure a State.
type Options struct {
	DataCentre string
	// RetryLimits limits the retries of this instance, separately for each service.
	RetryLimits retry.Limits
	// Seed must differ from one start of the instance to the next.
	Seed uint64
}

// UrgencyLevels is the number of urgency levels of engines; 0 is the most urgent.
const UrgencyLevels = 10

const (
	// levelsPerRank is the distance between the urgency levels of adjacent ranks.
	levelsPerRank = 3
	// baseLevel is the urgency level of the most urgent rank.
	baseLevel = 1
	// lateLevels is added for a request that is expected to miss its target, so
	// that it doesn't delay requests of its rank that can still reach theirs. It
	// is less than levelsPerRank, so that the request stays ahead of the next rank.
	lateLevels = 2
)

// urgencyLevel returns the urgency level of a request by the rank of its route.
// late means that the request is expected to miss its target.
func urgencyLevel(req *Request, late bool) int {
	level := baseLevel + levelsPerRank*max(req.Rank(), 0)
	if late {
		level += lateLevels
	}
	return min(level, UrgencyLevels-1)
}

// State holds what one instance knows of replicas and of its own requests. It
// is not safe for concurrent use.
type State struct {
	options  Options
	config   *catalog.Config
	replicas map[string]*replica
	services map[string]*service
	notices  map[string]notices // by replica ID
	crashes  crashes
	// peerCrashes holds the sums of the other instances' crash counts, by
	// request fingerprint.
	peerCrashes map[uint64]int
	suspects    *suspect.State
	profiles    latencyProfiles
	prefixes    prefixEstimate
	// ordersUnavailable reports that no instance can order adapter loads now;
	// ordersAvailableIn is the expected time until one can.
	ordersUnavailable bool
	ordersAvailableIn time.Duration
	// modelArrivals holds, for each model that is being loaded or is about to be,
	// the expected time at which the first of these loads ends.
	modelArrivals map[string]time.Time
	// stopTime is when this instance gives up requests whose answer has not begun;
	// zero unless it is stopping.
	stopTime time.Time
	random   *rand.Rand
	// instances is the number of instances that share the replicas; 0 if unknown.
	instances int
	// meanQuota is the weight in the wait queue of customers without a limit.
	meanQuota float64
}

// service holds the replicas, the retry budget and the averages of one service.
type service struct {
	replicas []*replica
	budget   *retry.Budget
	prefixAverages
	// avgTTFB is the moving average of the time to the first byte, used for
	// services without models.
	avgTTFB time.Duration
	// Moving averages per request: prompt tokens, output tokens and prefill work.
	avgPromptTokens float64
	avgOutputTokens float64
	avgPrefill      float64
	// statesSlowness is set once a replica of the service has stated its slowness, which
	// means that the replicas share their machines with other work.
	statesSlowness bool
	// hasCustomers is set if the config names customers, whose requests compete for the
	// replicas of the service.
	hasCustomers bool
	queue        waitQueue
	pace         pace // of a contended plain service
}

// New returns a State without replicas.
func New(options Options) *State {
	return &State{
		options: options, replicas: make(map[string]*replica), services: make(map[string]*service), notices: make(map[string]notices),
		crashes: make(crashes), suspects: suspect.New(options.Seed), meanQuota: 1, profiles: newLatencyProfiles(), prefixes: newPrefixEstimate(), random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// SetConfig replaces the config.
func (s *State) SetConfig(c *catalog.Config) {
	s.config, s.meanQuota = c, meanQuota(c)
	s.profiles.setConfig(c)
	for _, svc := range s.services {
		svc.hasCustomers = c.HasCustomers()
	}
}

// SetReplica adds or updates a replica; a nil info removes it. A replica that
// restarted or changed its address or service starts without history.
func (s *State) SetReplica(id string, info *catalog.Replica) {
	old, known := s.replicas[id]
	if info == nil {
		if known {
			s.removeFromService(old)
			delete(s.replicas, id)
		}
		return
	}
	if known && ((old.info.StartMillis != 0 && info.StartMillis != 0 && old.info.StartMillis != info.StartMillis) || old.info.Address != info.Address || old.info.Service != info.Service) {
		s.removeFromService(old)
		known = false
	}
	if !known {
		svc := s.service(info.Service)
		r := newReplica(info, svc)
		s.replicas[id] = r
		svc.replicas = append(svc.replicas, r)
		s.restoreNotices(r)
		return
	}
	s.forgetUnloaded(old, info)
	old.update(info)
	s.restoreNotices(old)
}

func (s *State) removeFromService(r *replica) {
	s.prefixes.remove(r)
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
		svc = &service{hasCustomers: s.config != nil && s.config.HasCustomers()}
		s.services[name] = svc
	}
	return svc
}

func (s *State) retryBudget(svc *service, now time.Time) *retry.Budget {
	if svc.budget == nil {
		svc.budget = retry.New(now, s.options.RetryLimits)
	}
	return svc.budget
}

// SetRetryLimits changes the retry limits of all services. The window of existing
// budgets stays as it is.
func (s *State) SetRetryLimits(limits retry.Limits) {
	s.options.RetryLimits = limits
	for _, svc := range s.services {
		if svc.budget != nil {
			svc.budget.SetLimits(limits)
		}
	}
}

// SetAdapter records whether an adapter is loaded on a replica.
func (s *State) SetAdapter(replicaID, model, adapter string, present bool) {
	if r, ok := s.replicas[replicaID]; ok {
		r.setAdapter(model, adapter, present)
	}
}

// SetPeerLoad records the load that all other instances together have in flight
// on a replica.
func (s *State) SetPeerLoad(now time.Time, replicaID string, load Load) {
	if r, ok := s.replicas[replicaID]; ok {
		s.countPeerWork(now, r, load)
		r.peerLoad, r.peerLoadAt = load, now
		s.updateCacheRoom(now, r)
	}
}

// SetModelChanges records, by replica ID, the time until a replica that loads or
// unloads a model accepts orders again, and the models that are being unloaded
// or are about to be.
func (s *State) SetModelChanges(now time.Time, timeLeft map[string]time.Duration, unloading map[string][]string) {
	for id, r := range s.replicas {
		left, ok := timeLeft[id]
		r.changingModel, r.changingModelUntil, r.unloading = ok, now.Add(left), unloading[id]
	}
}

// SetFullReplicas records the replicas whose adapter slots are all in use, with the
// adapters in them as MODEL/ADAPTER.
func (s *State) SetFullReplicas(adaptersByReplica map[string][]string) {
	for id, r := range s.replicas {
		adapters, ok := adaptersByReplica[id]
		r.adapterSlotsFull = ok
		for _, key := range adapters {
			r.adapters[key] = true
		}
	}
}

// SetOrderAvailability records whether an instance can order adapter loads now and,
// if not, the expected time until one can.
func (s *State) SetOrderAvailability(available bool, in time.Duration) {
	s.ordersUnavailable, s.ordersAvailableIn = !available, in
}

// SetModelArrivals records, for each model that is being loaded or is about to be,
// the expected time until the first of these loads ends.
func (s *State) SetModelArrivals(now time.Time, timeLeft map[string]time.Duration) {
	s.modelArrivals = make(map[string]time.Time, len(timeLeft))
	for model, d := range timeLeft {
		s.modelArrivals[model] = now.Add(d)
	}
}

// SetStopTime records that this instance is stopping and gives up requests whose
// answer has not begun by then.
func (s *State) SetStopTime(at time.Time) { s.stopTime = at }

// OwnLoad returns the load that this instance has in flight on each replica, for
// the other instances. Replicas without requests are left out unless they are
// unreachable.
func (s *State) OwnLoad() map[string]Load {
	out := make(map[string]Load)
	for id, r := range s.replicas {
		unreachable := r.unreachable && r.ejectionTime > 0
		if r.ownLoad.Requests > 0 || unreachable {
			load := r.ownLoad
			load.Unreachable = unreachable
			load.Adapters = slices.Sorted(maps.Keys(r.adapterRequests))
			load.Models = maps.Clone(r.modelRequests)
			out[id] = load
		}
	}
	return out
}
