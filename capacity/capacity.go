// Package capacity measures how the costs of control state and messages grow
// with the size of the system. It fits a curve to each cost, extrapolates it to
// the design size and compares it with a budget. It is a measurement tool and
// not part of the daemon. It measures processor time, heap memory, bytes and
// messages instead of elapsed time, because other programs can use the machine
// at the same time.
package capacity

import (
	"context"
	"fmt"
	"io"
	"time"
)

// The design size: the system size that costs are extrapolated to.
const (
	designNodes        = 420
	designReplicas     = 5400
	designModels       = 440
	designAdapters     = 1320 // three of each model
	designDataCentres  = 12
	designShards       = 512
	designRequestRate  = 8800      // requests per second at peak
	designTokenRate    = 3_000_000 // tokens per second at peak
	designEditsPerDay  = 8200      // edits of the table per day
	nodesPerDataCentre = designNodes / designDataCentres
)

// Budget identifies a cost limit that lines count against.
type Budget uint8

// The budgets. StoreReads and StoreWrites limit the whole fleet, the others one
// node, request or decision.
const (
	NoBudget       Budget = iota
	Processor             // milliseconds of processor time per second
	Memory                // megabytes
	Network               // kilobytes sent per second
	DecisionTime          // microseconds per routing or admission decision
	PlanTime              // milliseconds per placement plan
	RequestTime           // microseconds of processor time per request
	EventTime             // microseconds of processor time per token event
	StoreReads            // records read from the table service per second by all nodes
	StoreWrites           // transactions of the table service per second by all nodes
	budgetSentinel        // number of budgets
)

var budgets = [budgetSentinel]struct {
	name  string
	unit  string
	limit float64
	total bool // the limit applies to the sum of the lines, not to each line
}{
	Processor:    {"processor of a node", "ms/s", 14, true},
	Memory:       {"memory of a node", "MB", 256, true},
	Network:      {"network of a node", "KB/s", 22, false},
	DecisionTime: {"decision", "µs", 5, false},
	PlanTime:     {"placement plan", "ms", 100, false},
	RequestTime:  {"plain request", "µs", 100, false},
	EventTime:    {"token event", "µs", 5, false},
	StoreReads:   {"table service reads", "1/s", 2000, true},
	StoreWrites:  {"table service writes", "1/s", 300, true},
}

// Sample is a cost measured at one size.
type Sample struct {
	Size float64
	Cost float64
}

// Line is one cost, measured at several sizes.
type Line struct {
	Name       string
	SizeUnit   string  // what Sample.Size counts, such as nodes
	CostUnit   string  // unit of Sample.Cost
	DesignSize float64 // design size that the cost is extrapolated to
	Samples    []Sample
	// Budget is the budget that the line counts against. The cost at the design
	// size, multiplied by BudgetFactor, is in the unit of the budget.
	Budget       Budget
	BudgetFactor float64
	Explanation  string // explains BudgetFactor or the conditions of the measurement
	// IsPart marks a line that is contained in another one. It is left out of the
	// sum of its budget, except for Memory, which consists of parts only.
	IsPart bool
}

// Options configures a measurement.
type Options struct {
	Quick    bool      // fewer sizes and shorter runs, for tests of the tool
	Progress io.Writer // receives progress messages; may be nil
	// Groups lists the names of the groups to measure; empty means all.
	Groups []string
}

func (o Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// sizes returns all sizes, or the first two in a quick run.
func (o Options) sizes(all ...int) []int {
	if o.Quick {
		return all[:min(2, len(all))]
	}
	return all
}

// duration returns d, or a tenth of it in a quick run.
func (o Options) duration(d time.Duration) time.Duration {
	if o.Quick {
		return d / 10
	}
	return d
}

// group is a set of lines that are measured together.
type group struct {
	name    string
	measure func(context.Context, Options) ([]Line, error)
}

var groups = []group{
	{"decisions", measureDecisions},
	{"traffic", measureTraffic},
	{"memory", measureMemory},
	{"control", measureControl},
	{"peers", measurePeers},
	{"records", measureRecords},
	{"deployment", measureDeployment},
	{"requests", measureRequests},
}

// GroupNames returns the names of all groups, in the order of measurement.
func GroupNames() []string {
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = g.name
	}
	return names
}

// Measure runs the selected groups one after another. On an error it returns the
// lines of the groups that were completed.
func Measure(ctx context.Context, o Options) ([]Line, error) {
	var lines []Line
	for _, g := range groups {
		if !o.isSelected(g.name) {
			continue
		}
		o.progress("measure %s", g.name)
		measured, err := g.measure(ctx, o)
		if err != nil {
			return lines, fmt.Errorf("measure %s: %w", g.name, err)
		}
		for _, l := range measured {
			o.progress("  %s: %v", l.Name, l.Samples)
		}
		lines = append(lines, measured...)
	}
	return lines, nil
}

func (o Options) isSelected(name string) bool {
	for _, n := range o.Groups {
		if n == name {
			return true
		}
	}
	return len(o.Groups) == 0
}
