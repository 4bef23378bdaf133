// Package placement decides which model and adapter belongs on which replica
// of a pool. It keeps every row reachable first, then adds replicas where they
// serve the most worth, and moves a model only when the gain is clear and
// lasts. It does no I/O and reads no clock; package placementrecord encodes
// the stored plan.
package placement

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/table"
)

// Row is a model or adapter that has to be placed.
type Row struct {
	Name        string
	Base        string // empty for a model
	Version     string
	Rank        fleet.Rank
	Weight      float64
	MemoryMB    int
	MinReplicas int // 0 means 1
}

// Demand is the demand that arrives under one table row for a model or adapter.
type Demand struct {
	Name   string // model or adapter that serves it
	Rank   fleet.Rank
	Weight float64
	Busy   float64 // slots in use
	Queued float64 // requests waiting
	Rate   float64 // arrivals per second
	// SlotSeconds is the mean time that a request occupies a slot; 0 if unknown.
	SlotSeconds float64
}

// Replica is a replica with what its ledger counts.
type Replica struct {
	ID         fleet.EndpointID
	DataCentre fleet.DataCentre
	CapacityMB int
	Slots      int
	Leaving    bool
	Held       []ledger.Entry
}

// Input is everything that one plan depends on beside the planner's state.
type Input struct {
	Rows     []Row
	Demand   []Demand
	Replicas []Replica
}

// Cause is why a model or adapter is moved.
type Cause uint8

// The causes of a move.
const (
	CauseReach    Cause = iota // the row had no replica
	CauseMinimum               // the row had fewer than its minimum
	CauseSpread                // the row had no replica in a second data centre
	CauseDemand                // the row's demand exceeds its replicas
	CauseShare                 // requests wait for a row that does not fit beside the others
	CauseVersion               // another version is to be served
	CauseAdapter               // an adapter follows its base or its demand
	CauseRoom                  // the entry makes room for a more valuable one
	CauseGone                  // the row was removed from the table
	causeSentinel              // number of causes
)

var causeNames = [causeSentinel]string{"reach", "minimum", "spread", "demand", "share", "version", "adapter", "room", "gone"}

// String returns the cause's name.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return fmt.Sprintf("cause(%d)", uint8(c))
}

// Move is one change of a replica's target.
type Move struct {
	Replica fleet.EndpointID
	Name    string
	Version string
	Remove  bool
	Cause   Cause
}

// Plan is the target of every replica, most important item first, and how it
// differs from the plan before. Every replica of the input has an entry.
type Plan struct {
	Targets  map[fleet.EndpointID][]ledger.Item
	Moves    []Move
	Findings []finding.Finding // what does not fit and what was sacrificed for it
}

// Placed is one item of a stored plan. Age is how long it had been in the plan
// when the plan was stored, because clocks of processes are never compared.
type Placed struct {
	Replica  fleet.EndpointID
	Name     string
	Base     string
	Version  string
	MemoryMB int
	Age      time.Duration
}

// Stored is the lasting form of a plan, ordered by replica.
type Stored struct {
	Revision uint64 // increases with every change of the plan or its replicas
	Items    []Placed
	Empty    []fleet.EndpointID // replicas that the plan knows and leaves empty
}

// Targets returns the target of every replica that the stored plan knows. An
// owner changes nothing on a replica without an entry.
func (s Stored) Targets() map[fleet.EndpointID][]ledger.Item {
	out := map[fleet.EndpointID][]ledger.Item{}
	for _, id := range s.Empty {
		out[id] = []ledger.Item{}
	}
	for _, it := range s.Items {
		out[it.Replica] = append(out[it.Replica], ledger.Item{Name: it.Name, Base: it.Base, Version: it.Version, MemoryMB: it.MemoryMB})
	}
	return out
}

// Mode selects how the planner follows demand.
type Mode uint8

// The modes. Static and Greedy are baselines.
const (
	Hysteresis Mode = iota // moves when a gain exceeds the margin for the hold time
	Static                 // keeps every row reachable and ignores demand
	Greedy                 // moves for every gain, at once, by the demand of the moment
)

// Options tune the planner. Zero values select the defaults.
type Options struct {
	Mode     Mode
	HalfLife time.Duration // of demand estimates while demand falls
	Margin   float64       // relative gain that a move must exceed
	Hold     time.Duration // how long the gain must last
	MinServe time.Duration // least time in the plan before an item makes room
	MaxMoves int           // moves for demand in one plan
}

// Defaults of Options.
const (
	DefaultHalfLife = 30 * time.Second
	DefaultMargin   = 0.3 // above the 20% by which demand may wobble without a move
	DefaultHold     = 5 * time.Second
	DefaultMinServe = time.Minute
)

// RowsOf returns the rows of the table that have to be placed in the pool. A
// row without a pool belongs to every pool.
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

// DemandOf returns an empty demand for what serves the table row, with the
// row's rank and weight. It reports false for rows that name no model.
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
