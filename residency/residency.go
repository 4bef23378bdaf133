// Package residency decides which orders replicas get: which models and
// adapters they load and unload. It is a state machine without I/O that never
// reads a clock. Only the holder of the order lease acts on it.
//
// Invariants: a replica has at most one order on its way; what it holds, loads
// and may still load never exceeds its memory or its places for adapters.
package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// Operation is what an order does.
type Operation uint8

// The operations.
const (
	Load Operation = iota
	Unload
)

// Order is one order to a replica. Adapter is empty for the model itself.
type Order struct {
	Replica, Address string
	Operation        Operation
	Model, Adapter   string
	// Expected is the number of orders that the replica must have accepted.
	Expected int64
	// FromStore says that the load counts against the weight store's rate.
	FromStore bool
	Reason    string
}

// Outcome is a replica's answer to an order.
type Outcome uint8

// The outcomes.
const (
	Accepted Outcome = iota
	AlreadyHolds
	// Busy means that another order is in progress, or that the number of
	// accepted orders differs.
	Busy
	// Fenced means that the replica has seen a newer epoch.
	Fenced
	// OtherReplica means that the address belongs to another replica.
	OtherReplica
	Rejected
	// Unsent means that the order never left.
	Unsent
	// Unknown means that the order may be carried out, possibly later.
	Unknown
)

var outcomeNames = [...]string{"accepted", "already-holds", "busy", "fenced", "other-replica", "rejected", "unsent", "unknown"}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is what a replica says of itself when it is asked.
type Report struct {
	Models           []catalog.Resident
	Coming           []string // MODEL/ADAPTER that are being loaded
	Busy             bool
	Orders           int64
	Born             int64
	InMemory, OnDisk []string
}

// Action is something that the control goroutine has carried out.
type Action struct {
	Order *Order // to be sent
	// Report names a replica that is to be asked after Delay.
	Report string
	Delay  time.Duration
	// Ready is an adapter that can be used after Delay, or that can't be had.
	Ready *AdapterResult
}

// AdapterResult is the end of a wish for an adapter.
type AdapterResult struct {
	Replica, Model, Adapter string
	OK                      bool
	Reason                  string
}

const (
	// adapterBase and adapterPerMB estimate the time to load an adapter: 12 MB
	// take 6.3 ms and 66 MB take 19 ms while few are in transit.
	adapterBase  = 5 * time.Millisecond
	adapterPerMB = 240 * time.Microsecond
	// reportLag is the age of what a replica reports of itself, with a margin.
	reportLag = 350 * time.Millisecond
	// entryLag is the time after an order for which the list of replicas may
	// still show what was before it: a heartbeat and the way to the list.
	entryLag = 2500 * time.Millisecond
	// unknownHold is the time after which an order without an answer, which
	// replicas may carry out seconds late, is taken as not carried out. The
	// expected order number makes a later one harmless once another was accepted.
	unknownHold = 300 * time.Millisecond
	// unknownModel stands for the model of an order that another holder gave.
	unknownModel = "?"
	// adapterGiveUp bounds the wait for an adapter.
	adapterGiveUp = 600 * time.Millisecond
)

// State is what the holder knows of the replicas of all engines.
type State struct {
	config   *catalog.Config
	replicas map[string]*replica
	demand   map[string]*demand // by model
	// adapterDemand are the requests by MODEL/ADAPTER, fading with time.
	adapterDemand map[string]float64
	// noPlace are the adapters, as MODEL/ADAPTER, that found no place on a replica,
	// with the last time.
	noPlace map[string]time.Time
	missing map[string]time.Time // since when a model has had no copy
	limits  Limits
	loads   bucket
	last    time.Time // of the last plan
}

type replica struct {
	info      *catalog.Replica   // as the list of replicas shows it
	reported  []catalog.Resident // models of the last report
	touched   time.Time          // of the last order that may have been accepted
	orders    int64              // accepted, as far as known
	known     bool               // orders was read from the replica since this instance holds the lease
	asked     bool               // a report is on its way
	sent      *Order
	retryAt   time.Time
	loading   string    // model that is being loaded
	fromStore bool      // by the weight store
	due       time.Time // when the load probably ends
	readyAt   time.Time // when it is overdue
	dropping  string    // model that is being unloaded
	dropBy    time.Time
	move      *move               // that has not begun its load
	adapters  map[string]*adapter // by MODEL/ADAPTER
	wishes    []wish
	down      bool           // instances can't connect to it
	running   map[string]int // requests of all instances, by model
}

type adapter struct {
	readyAt time.Time
	used    time.Time
	size    float64 // MB
}

type wish struct {
	model, adapter string
	until          time.Time
	requested      bool // by a request that waits, not ahead of use
}

// New returns an empty state.
func New(limits Limits) *State {
	return &State{limits: limits, replicas: make(map[string]*replica), demand: make(map[string]*demand), adapterDemand: make(map[string]float64), missing: make(map[string]time.Time), noPlace: make(map[string]time.Time)}
}

// SetConfig takes over a newer config.
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

// Hold starts a term as holder of the lease: nothing is known for certain, so
// every replica is asked before its first order.
func (s *State) Hold(now time.Time) []Action {
	s.loads = newBucket(now)
	var actions []Action
	for id, r := range s.replicas {
		r.known, r.sent, r.loading, r.dropping, r.wishes, r.move = false, nil, "", "", nil, nil
		actions = append(actions, s.ask(now, id, r)...)
	}
	return actions
}

// ask asks a replica for a report that is newer than the last order.
func (s *State) ask(now time.Time, id string, r *replica) []Action {
	if r.asked || s.engine(r.info.Service) == nil {
		return nil
	}
	r.asked = true
	return []Action{{Report: id, Delay: max(0, r.touched.Add(reportLag).Sub(now))}}
}

// SetReplica takes over what a replica says of itself; nil means that it is gone.
func (s *State) SetReplica(now time.Time, id string, info *catalog.Replica) {
	if info == nil {
		delete(s.replicas, id)
		return
	}
	r, ok := s.replicas[id]
	if !ok || (r.info.Born != 0 && info.Born != 0 && r.info.Born != info.Born) || r.info.Address != info.Address {
		r = &replica{adapters: make(map[string]*adapter)}
		s.replicas[id] = r
	}
	r.info = info
	if now.Sub(r.touched) > entryLag {
		r.reported = nil
		s.syncAdapters(r, info.Models, false)
	}
	if r.loading != "" && r.loading != unknownModel && r.info.Holds(r.loading) {
		r.loading = ""
	}
	if r.dropping != "" && !r.info.Holds(r.dropping) {
		r.dropping = ""
	}
}

// syncAdapters takes over the adapters that a replica lists. A complete list
// removes the others.
func (s *State) syncAdapters(r *replica, models []catalog.Resident, complete bool) {
	listed := make(map[string]bool)
	for _, m := range models {
		for _, a := range m.Adapters {
			key := m.Name + "/" + a
			listed[key] = true
			if r.adapters[key] == nil {
				r.adapters[key] = &adapter{size: s.adapterMB(r, m.Name)}
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

// holds reports whether the replica holds a model, by the list or by its report.
func (r *replica) holds(model string) bool {
	return r.info.Holds(model) || slices.ContainsFunc(r.reported, func(m catalog.Resident) bool { return m.Name == model })
}

// models returns what the replica holds, by the list or by its report.
func (r *replica) models() []string {
	var out []string
	for _, m := range r.info.Models {
		out = append(out, m.Name)
	}
	for _, m := range r.reported {
		if !r.info.Holds(m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

// atHand reports whether the replica can load a model without the weight store.
func (r *replica) atHand(model string) bool {
	return slices.Contains(r.info.InMemory, model) || slices.Contains(r.info.OnDisk, model)
}

// givesWay reports whether a model is being unloaded or will be.
func (r *replica) givesWay(model string) bool {
	return r.dropping == model || (r.move != nil && slices.Contains(r.move.victims, model))
}

// coming returns the model that the replica loads or will load, or "".
func (r *replica) coming(now time.Time) string {
	switch {
	case r.loading != "" && r.loading != unknownModel:
		return r.loading
	case r.sent != nil && r.sent.Operation == Load && r.sent.Adapter == "":
		return r.sent.Model
	case r.move != nil && !now.After(r.move.until):
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

// Reported takes over a replica's report; nil means that it could not be asked.
func (s *State) Reported(now time.Time, id string, report *Report) []Action {
	r, ok := s.replicas[id]
	if !ok {
		return nil
	}
	r.asked = false
	if report == nil || (report.Born != 0 && r.info.Born != 0 && report.Born != r.info.Born) {
		r.retryAt = now.Add(unknownHold)
		return nil
	}
	if r.sent != nil {
		return nil // the order's own answer is newer
	}
	r.known, r.orders, r.reported = true, report.Orders, report.Models
	coming := report.Models
	for _, c := range report.Coming {
		model, rest, _ := strings.Cut(c, "/")
		name, _, _ := strings.Cut(rest, "@")
		coming = append(coming, catalog.Resident{Name: model, Adapters: []string{name}})
	}
	s.syncAdapters(r, coming, true)
	if report.Busy {
		// What it loads is not known and may arrive at any moment: no order until
		// a later report shows the end.
		r.loading, r.readyAt = unknownModel, now.Add(unknownHold)
	} else {
		// The models of the report count until the list shows them.
		r.loading, r.dropping = "", ""
		r.touched = now
	}
	return s.advance(now, id, r)
}

// SetUnreachable records the replicas that instances can't connect to. They
// have probably crashed, and replicas restart empty.
func (s *State) SetUnreachable(ids []string) {
	for id, r := range s.replicas {
		r.down = slices.Contains(ids, id)
	}
}

// SetRunning records the requests that run on replicas or wait there, by replica
// and model.
func (s *State) SetRunning(running map[string]map[string]int) {
	for id, r := range s.replicas {
		r.running = running[id]
	}
}

// WantAdapter asks for an adapter on a replica that holds its model.
func (s *State) WantAdapter(now time.Time, id, model, name string) []Action {
	r, ok := s.replicas[id]
	if !ok || !r.holds(model) || r.info.Leaving {
		return []Action{{Ready: &AdapterResult{Replica: id, Model: model, Adapter: name, Reason: "replica lacks the model"}}}
	}
	if a := r.adapters[model+"/"+name]; a != nil {
		a.used = now
		return []Action{{Ready: &AdapterResult{Replica: id, Model: model, Adapter: name, OK: true}, Delay: max(0, a.readyAt.Sub(now))}}
	}
	for i, w := range r.wishes {
		if w.model == model && w.adapter == name {
			r.wishes[i].requested = true
			return nil // the first wish answers all
		}
	}
	r.wishes = append(r.wishes, wish{model: model, adapter: name, until: now.Add(adapterGiveUp), requested: true})
	return s.advance(now, id, r)
}

// UsedAdapter records that an adapter is in use, so that it is not dropped.
func (s *State) UsedAdapter(now time.Time, id, model, name string) {
	if r, ok := s.replicas[id]; ok {
		if a := r.adapters[model+"/"+name]; a != nil {
			a.used = now
		}
	}
}
