// Package capacity measures how the costs of the control state and of the
// messages grow with the size of the system, fits a curve to each, and works
// out what it comes to at the size to design for. It is a tool and no part of
// the daemon. It measures processor time, allocations, bytes and messages, not
// elapsed time, because other programs may use the machine meanwhile.
package capacity

import (
	"context"
	"fmt"
	"io"
	"time"
)

// The size to design for.
const (
	fullNodes       = 420
	fullReplicas    = 5400
	fullModels      = 440
	fullAdapters    = 1320 // three of each model, as today
	fullDataCentres = 12
	fullShards      = 512
	fullRequests    = 8800      // per second at peak
	fullTokens      = 3_000_000 // per second at peak
	fullEdits       = 8200      // per day
	perDataCentre   = fullNodes / fullDataCentres
)

// Budget is a limit that lines are added up against.
type Budget uint8

// The budgets. All but the last two are of one node.
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
	total bool // lines are parts of one sum
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

// Sample is one measured cost at one size.
type Sample struct {
	Size float64
	Cost float64
}

// Line is one cost as measured at several sizes.
type Line struct {
	Name    string
	Varied  string  // what Size counts
	Unit    string  // of Cost
	Full    float64 // size to extrapolate to
	Samples []Sample
	// Budget is what the line counts against. Cost at full size times Rate is
	// in the unit of the budget.
	Budget Budget
	Rate   float64
	Why    string // where Rate comes from
	// Part marks a line that is contained in another one and is left out of
	// the sum of its budget.
	Part bool
}

// Options of a measurement.
type Options struct {
	Quick    bool      // smaller sizes and shorter runs, for tests of the tool
	Progress io.Writer // may be nil
	// Only, if set, selects groups by name.
	Only []string
}

func (o Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// sizes returns all sizes, or the first ones of a quick run.
func (o Options) sizes(all ...int) []int {
	if o.Quick {
		return all[:min(2, len(all))]
	}
	return all
}

// duration shortens d in a quick run.
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

// GroupNames returns the names of all groups of lines.
func GroupNames() []string {
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = g.name
	}
	return names
}

// Measure runs the selected measurements one after another.
func Measure(ctx context.Context, o Options) ([]Line, error) {
	var lines []Line
	for _, g := range groups {
		if !o.selected(g.name) {
			continue
		}
		o.progress("measure %s", g.name)
		found, err := g.measure(ctx, o)
		if err != nil {
			return lines, fmt.Errorf("measure %s: %w", g.name, err)
		}
		for _, l := range found {
			o.progress("  %s: %v", l.Name, l.Samples)
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

func (o Options) selected(name string) bool {
	for _, n := range o.Only {
		if n == name {
			return true
		}
	}
	return len(o.Only) == 0
}
