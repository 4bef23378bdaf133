// Package placement decides which models and adapters each replica of a pool
// holds in the `serve` program. It first keeps every row reachable, then adds
// replicas where they serve the most weighted demand, and replaces a model only
// for a clear and lasting gain. A Planner owns the plan and the demand
// estimates; it does no I/O and reads no clock. Package placementrecord encodes
// the stored plan.
//
// Package residency does the same for the `edge` program, but it also creates
// the orders and rebuilds its state from the replicas' reports, where a Planner
// only computes targets and continues from a stored plan.
package placement

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/table"
)

// Row is a model or adapter to place.
type Row struct {
	Name        string
	Base        string // base model of an adapter; empty for a model
	Version     string
	Rank        fleet.Rank
	Weight      float64
	MemoryMB    int
	MinReplicas int // 0 means 1
}

// Demand is the demand of one table row for the model or adapter that serves it.
type Demand struct {
	Name   string // name of the model or adapter
	Rank   fleet.Rank
	Weight float64
	Busy   float64 // slots in use
	Queued float64 // requests waiting
	Rate   float64 // arrivals per second
	// SlotSeconds is the mean time a request occupies a slot; 0 if unknown.
	SlotSeconds float64
}

// Replica is a replica with its capacity and the entries of its ledger.
type Replica struct {
	ID         fleet.EndpointID
	DataCentre fleet.DataCentre
	CapacityMB int
	Slots      int
	Leaving    bool
	Entries    []ledger.Entry
}

// Input is everything a plan depends on in addition to the planner's state.
type Input struct {
	Rows     []Row
	Demand   []Demand
	Replicas []Replica
}

// Cause is the reason for a move.
type Cause uint8

// The causes of a move.
const (
	CauseUnreachable Cause = iota // the row has no replica
	CauseMinimum                  // the row has fewer replicas than its minimum
	CauseSpread                   // the row has no replica in a second data centre
	CauseDemand                   // the row's demand exceeds the slots of its replicas
	CauseTimeSharing              // requests wait for a row that does not fit together with the others
	CauseVersion                  // the table names another version
	CauseAdapter                  // an adapter is added, or its base is added together with it
	CauseEviction                 // the entry is evicted or relocated, because another row needs its memory or the capacity is exceeded
	CauseRowRemoved               // the row was removed from the table
	causeCount                    // number of causes
)

var causeNames = [causeCount]string{"reach", "minimum", "spread", "demand", "share", "version", "adapter", "room", "gone"}

// String returns the cause's name.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return fmt.Sprintf("cause(%d)", uint8(c))
}

// Move is one change of a replica's target: an item is added, replaced by another
// version or removed.
type Move struct {
	Replica fleet.EndpointID
	Name    string
	Version string
	Remove  bool
	Cause   Cause
}

// Plan holds the target of every replica of the input, most important item
// first, and the moves from the previous plan.
type Plan struct {
	Targets  map[fleet.EndpointID][]ledger.Item
	Moves    []Move
	Findings []finding.Finding // problems of rows, such as rows that do not fit or that lost replicas to others
}

// StoredItem is one item of a stored plan. Age is the time the item had been in the
// plan when the plan was stored. It is not a timestamp, because clocks of different
// processes cannot be compared.
type StoredItem struct {
	Replica  fleet.EndpointID
	Name     string
	Base     string
	Version  string
	MemoryMB int
	Age      time.Duration
}

// StoredPlan is a plan in the form that is persisted, ordered by replica.
type StoredPlan struct {
	Revision uint64 // increases with every change of the plan or its replicas
	Items    []StoredItem
	Empty    []fleet.EndpointID // replicas with an empty target
}

// Targets returns the target of every replica in the stored plan. An owner
// changes nothing on a replica that the plan does not contain.
func (s StoredPlan) Targets() map[fleet.EndpointID][]ledger.Item {
	out := map[fleet.EndpointID][]ledger.Item{}
	for _, id := range s.Empty {
		out[id] = []ledger.Item{}
	}
	for _, it := range s.Items {
		out[it.Replica] = append(out[it.Replica], ledger.Item{Name: it.Name, Base: it.Base, Version: it.Version, MemoryMB: it.MemoryMB})
	}
	return out
}

// Mode selects how the planner reacts to demand.
type Mode uint8

// The modes. Static and Greedy are baselines for comparison.
const (
	Hysteresis Mode = iota // reacts to demand that stays outside the margin for the hold time
	Static                 // keeps every row reachable and ignores demand
	Greedy                 // reacts at once to current demand and to every gain
)

// Options configures a planner. Zero values select the defaults.
type Options struct {
	Mode         Mode
	HalfLife     time.Duration // half-life of the demand estimates while demand falls
	Margin       float64       // relative rise of demand, or relative gain of a replacement, that must be exceeded
	HoldTime     time.Duration // how long demand must stay outside the margin
	MinServeTime time.Duration // time in the plan before an item can normally be evicted
	MaxMoves     int           // maximum additions for demand in one plan; 0 means 1% of the replicas, at least 4
}

// Defaults of Options.
const (
	DefaultHalfLife     = 30 * time.Second
	DefaultMargin       = 0.3 // above the 20% noise in demand that must cause no move
	DefaultHoldTime     = 5 * time.Second
	DefaultMinServeTime = time.Minute
)

// RowsOf returns the models and adapters of the table that belong to the pool.
// A row without a pool belongs to every pool.
func RowsOf(s *table.Snapshot, pool string) []Row {
	var out []Row
	for _, r := range s.Rows() {
		if r.Kind != table.KindModel && r.Kind != table.KindAdapter || r.Pool != "" && r.Pool != pool {
			continue
		}
		row := Row{Name: r.Name, Version: r.Version, Rank: r.Rank, Weight: r.Weight, MemoryMB: r.MemoryMB, MinReplicas: r.MinReplicas}
		if r.Kind == table.KindAdapter {
			row.Base = r.Base
		}
		out = append(out, row)
	}
	return out
}

// DemandOf returns a Demand without load for the model or adapter that serves
// the table row, with the row's rank and weight. It reports false for rows that
// name no model.
func DemandOf(s *table.Snapshot, row string) (Demand, bool) {
	serving, ok := s.Resolve(row)
	if !ok {
		return Demand{}, false
	}
	d := Demand{Name: serving.Model.Name, Rank: serving.Row.Rank, Weight: serving.Row.Weight}
	if serving.Adapter != nil {
		d.Name = serving.Adapter.Name
	}
	return d, true
}
