// Package residency decides which models and adapters each replica of an engine
// pool holds, and creates the orders to load and unload them. It owns the order
// lease holder's view of the replicas, as a state machine without I/O that never
// reads a clock; other packages send the orders and fetch the reports. It does
// for the `edge` program what package placement does for `serve`, but its state
// is not stored: it is rebuilt from the replicas' reports.
//
// Invariants: a replica has at most one unanswered order. What it holds, loads
// and may still load never exceeds its memory or its adapter slots.
package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// Operation is the kind of an order.
type Operation uint8

// Operations of an order.
const (
	Load Operation = iota
	Unload
)

// Order instructs a replica to load or unload a model, or an adapter if Adapter
// is set.
type Order struct {
	Replica, Address string
	Operation        Operation
	Model, Adapter   string
	// ExpectedOrders is the number of orders that the replica must have accepted
	// before.
	ExpectedOrders int64
	// FromStore marks a load that counts against the rate of the weight store.
	FromStore bool
	Reason    string
}

// Outcome is the result of sending an order to a replica.
type Outcome uint8

// Outcomes of an order.
const (
	Accepted Outcome = iota
	AlreadyApplied
	// Busy means that another order is in progress or that ExpectedOrders does
	// not match.
	Busy
	// Fenced means that the replica has seen a newer epoch.
	Fenced
	// OtherReplica means that the address belongs to another replica.
	OtherReplica
	Rejected
	// Unsent means that the replica can't have received the order.
	Unsent
	// Unknown means that the order may be carried out, possibly seconds later. Its
	// ExpectedOrders makes a late order harmless once another order has been
	// accepted.
	Unknown
)

var outcomeNames = [...]string{"accepted", "already-holds", "busy", "fenced", "other-replica", "rejected", "unsent", "unknown"}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is the state that a replica reports on request.
type Report struct {
	Models           []catalog.LoadedModel
	LoadingAdapters  []string // adapters that are being loaded, as MODEL/ADAPTER; a suffix after @ is ignored
	Busy             bool
	AcceptedOrders   int64
	StartMillis      int64
	InMemory, OnDisk []string
}

// Action is a side effect for the control goroutine to carry out. One of Order,
// ReportFrom and AdapterResult is set.
type Action struct {
	Order *Order // order to send
	// ReportFrom is the ID of a replica to request a report from after Delay.
	ReportFrom string
	Delay      time.Duration
	// AdapterResult is the result of an adapter request, to be delivered after Delay.
	AdapterResult *AdapterResult
}

// AdapterResult is the result of an adapter request.
type AdapterResult struct {
	Replica, Model, Adapter string
	OK                      bool
	Reason                  string
}

const (
	// The estimated time to load an adapter is adapterLoadBase plus
	// adapterLoadPerMB for each MB. With few loads in progress, 12 MB take
	// 6.3 ms and 66 MB take 19 ms.
	adapterLoadBase  = 5 * time.Millisecond
	adapterLoadPerMB = 240 * time.Microsecond
	// reportStaleness is the maximum age of the state in a replica's report,
	// with a margin.
	reportStaleness = 350 * time.Millisecond
	// listStaleness is the time after an order for which the list of replicas
	// may still show the state before it: a heartbeat interval and the delay of
	// the list.
	listStaleness = 2500 * time.Millisecond
	// retryDelay is the time before a replica gets another order after one that
	// was not sent or was rejected, and before it is asked again after a failed
	// report or one that shows an order of another holder in progress.
	retryDelay = 300 * time.Millisecond
	// unknownModel stands for the model in an order of another lease holder.
	unknownModel = "?"
	// adapterRequestTimeout is the time after which an adapter request fails.
	adapterRequestTimeout = 600 * time.Millisecond
)

// State is the order lease holder's view of the replicas of all engines.
type State struct {
	config   *catalog.Config
	replicas map[string]*replica
	demand   map[string]*modelDemand // by model
	// adapterDemand is the exponentially decaying count of requests, by
	// MODEL/ADAPTER.
	adapterDemand map[string]float64
	// unplacedAdapters is the last time at which an adapter found no free slot
	// on a replica, by MODEL/ADAPTER.
	unplacedAdapters map[string]time.Time
	missingSince     map[string]time.Time // when a model was first found without a copy
	limits           Limits
	storeLoadBucket  tokenBucket
	lastPlan         time.Time // time of the last Plan
}

type replica struct {
	info            *catalog.Replica      // entry in the list of replicas
	reportedModels  []catalog.LoadedModel // models in the last report
	lastUpdate      time.Time             // last order that may have been accepted, or last report
	acceptedOrders  int64                 // orders that the replica is known to have accepted
	ordersKnown     bool                  // acceptedOrders is certain; otherwise a report is needed
	reportPending   bool                  // a report was requested
	pendingOrder    *Order
	unanswered      *Order // load of a model that may be carried out
	retryAt         time.Time
	backoffUntil    time.Time // the replica wants no orders before this time
	loading         string    // model that is being loaded
	loadFromStore   bool      // the load uses the weight store
	loadDue         time.Time // expected end of the load
	loadOverdueAt   time.Time // a report is requested after this time
	unloading       string    // model that is being unloaded
	unloadOverdueAt time.Time
	move            *move               // planned move whose load has not been ordered
	adapters        map[string]*adapter // by MODEL/ADAPTER
	adapterRequests []adapterRequest
	unreachable     bool           // instances can't connect to it
	runningRequests map[string]int // requests in progress from all instances, by model
}

type adapter struct {
	readyAt  time.Time
	lastUsed time.Time
	sizeMB   float64
}

type adapterRequest struct {
	model, adapter string
	deadline       time.Time
	forRequest     bool // made for a waiting request, not for a prefetch
}

// New returns a State without replicas.
func New(limits Limits) *State {
	return &State{limits: limits, replicas: make(map[string]*replica), demand: make(map[string]*modelDemand), adapterDemand: make(map[string]float64), missingSince: make(map[string]time.Time), unplacedAdapters: make(map[string]time.Time)}
}

// SetConfig replaces the config.
func (s *State) SetConfig(c *catalog.Config) { s.config = c }

func (s *State) engine(service string) *catalog.Engine {
	if s.config == nil {
		return nil
	}
	if declared, ok := s.config.Services[service]; ok {
		return declared.Engine
	}
	return nil
}

// StartTerm starts a term as holder of the order lease. Orders of the previous
// holder may be in progress, so every replica is asked for a report before its
// first order.
func (s *State) StartTerm(now time.Time) []Action {
	s.storeLoadBucket = newTokenBucket(now)
	var actions []Action
	for id, r := range s.replicas {
		r.ordersKnown, r.pendingOrder, r.unanswered, r.loading, r.unloading, r.adapterRequests, r.move = false, nil, nil, "", "", nil, nil
		actions = append(actions, s.requestReport(now, id, r)...)
	}
	return actions
}

// requestReport requests a report that is newer than the replica's last order. While the
// replica wants no requests, it does nothing; checkReplica requests the report later.
func (s *State) requestReport(now time.Time, id string, r *replica) []Action {
	if r.reportPending || r.backsOff(now) || s.engine(r.info.Service) == nil {
		return nil
	}
	r.reportPending = true
	return []Action{{ReportFrom: id, Delay: max(0, r.lastUpdate.Add(reportStaleness).Sub(now))}}
}

// SetReplica updates a replica's entry in the list of replicas. nil removes the
// replica.
func (s *State) SetReplica(now time.Time, id string, info *catalog.Replica) {
	if info == nil {
		delete(s.replicas, id)
		return
	}
	r, ok := s.replicas[id]
	if !ok || (r.info.StartMillis != 0 && info.StartMillis != 0 && r.info.StartMillis != info.StartMillis) || r.info.Address != info.Address {
		r = &replica{adapters: make(map[string]*adapter)}
		s.replicas[id] = r
	}
	r.info = info
	if now.Sub(r.lastUpdate) > listStaleness {
		r.reportedModels = nil
		s.syncAdapters(r, info.Models, false)
	}
	if r.loading != "" && r.loading != unknownModel && r.info.Holds(r.loading) {
		r.loading = ""
	}
	if r.unloading != "" && !r.info.Holds(r.unloading) {
		r.unloading = ""
	}
}

// syncAdapters adds the adapters that a replica lists. It removes adapters whose
// model the replica does not hold and, if the list is complete, all that are not
// listed.
func (s *State) syncAdapters(r *replica, models []catalog.LoadedModel, complete bool) {
	listed := make(map[string]bool)
	for _, m := range models {
		for _, a := range m.Adapters {
			key := m.Name + "/" + a
			listed[key] = true
			if r.adapters[key] == nil {
				r.adapters[key] = &adapter{sizeMB: s.adapterMB(r, m.Name)}
			}
		}
	}
	for key := range r.adapters {
		model, _, _ := strings.Cut(key, "/")
		if (complete && !listed[key]) || !r.holds(model) {
			delete(r.adapters, key)
		}
	}
}

// holds reports whether the list of replicas or the last report shows the model
// on the replica.
func (r *replica) holds(model string) bool {
	return r.info.Holds(model) || slices.ContainsFunc(r.reportedModels, func(m catalog.LoadedModel) bool { return m.Name == model })
}

// models returns the models that the list of replicas or the last report shows
// on the replica.
func (r *replica) models() []string {
	var out []string
	for _, m := range r.info.Models {
		out = append(out, m.Name)
	}
	for _, m := range r.reportedModels {
		if !r.info.Holds(m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

// hasLocalWeights reports whether the replica can load a model without the
// weight store.
func (r *replica) hasLocalWeights(model string) bool {
	return slices.Contains(r.info.InMemory, model) || slices.Contains(r.info.OnDisk, model)
}

// isEvicting reports whether a model is being unloaded or is about to be.
func (r *replica) isEvicting(model string) bool {
	return r.unloading == model || (r.move != nil && slices.Contains(r.move.evictions, model))
}

// incomingModel returns the model that the replica loads or is about to load,
// or "".
func (r *replica) incomingModel(now time.Time) string {
	switch {
	case r.loading != "" && r.loading != unknownModel:
		return r.loading
	case r.pendingOrder != nil && r.pendingOrder.Operation == Load && r.pendingOrder.Adapter == "":
		return r.pendingOrder.Model
	case r.move != nil && !now.After(r.move.deadline):
		return r.move.model.Name
	}
	return ""
}

func (s *State) adapterMB(r *replica, model string) float64 {
	if e := s.engine(r.info.Service); e != nil {
		if m := e.Model(model); m != nil {
			return m.AdapterMB
		}
	}
	return 0
}

// HandleReport records a replica's report and returns the follow-up actions. A nil
// report means that none was received.
func (s *State) HandleReport(now time.Time, id string, report *Report) []Action {
	r, ok := s.replicas[id]
	if !ok {
		return nil
	}
	r.reportPending = false
	if report == nil || (report.StartMillis != 0 && r.info.StartMillis != 0 && report.StartMillis != r.info.StartMillis) {
		r.retryAt = now.Add(retryDelay)
		return nil
	}
	if r.pendingOrder != nil {
		return nil // the answer to the order will be newer than this report
	}
	r.ordersKnown, r.acceptedOrders, r.reportedModels = true, report.AcceptedOrders, report.Models
	models := report.Models
	for _, c := range report.LoadingAdapters {
		model, rest, _ := strings.Cut(c, "/")
		name, _, _ := strings.Cut(rest, "@")
		models = append(models, catalog.LoadedModel{Name: model, Adapters: []string{name}})
	}
	s.syncAdapters(r, models, true)
	if report.Busy {
		// The replica carries out an order of another holder, whose model is
		// unknown. It gets no order until a later report shows that it has
		// finished.
		r.loading, r.loadOverdueAt = unknownModel, now.Add(retryDelay)
		s.resumeUnansweredLoad(r)
	} else {
		// The reported models count as held until the list shows them.
		r.loading, r.unloading = "", ""
		r.lastUpdate = now
	}
	return s.nextAdapterOrder(now, id, r)
}

// SetUnreachable records the replicas that instances can't connect to. They
// have probably crashed, and replicas restart empty.
func (s *State) SetUnreachable(ids []string) {
	for id, r := range s.replicas {
		r.unreachable = slices.Contains(ids, id)
	}
}

// SetBackoff records that a replica wants no orders before a time.
func (s *State) SetBackoff(id string, until time.Time) {
	if r, ok := s.replicas[id]; ok {
		r.backoffUntil = until
	}
}

// SetRunning records the number of requests that run or wait on replicas, by
// replica and model.
func (s *State) SetRunning(running map[string]map[string]int) {
	for id, r := range s.replicas {
		r.runningRequests = running[id]
	}
}
