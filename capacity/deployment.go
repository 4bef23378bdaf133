package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/dev"
	standinplatform "github.com/hyssophaven/hyssophaven/standin/platform"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

// editsPerSecond is a hundred times the mean edit rate at the design size, so
// that the cost of edits exceeds the variation of the idle load.
const editsPerSecond = 10

// deploymentCost holds the costs per second of a deployment of whole instances.
type deploymentCost struct {
	processorMillis         float64 // ms of processor time per second and instance, stand-ins included
	tableReads, tableWrites float64 // calls of the table service per second by all instances
	objectWrites            float64 // writes to the object store per second by all instances
	additionalReads         float64 // additional reads of the table service per second during edits
	controlEvents           float64 // events of the control goroutine per second and instance
	listReads               float64 // reads of the list per second by all instances
	editRate                float64 // accepted edits per second
}

// measureDeployment measures whole instances that run in this process together
// with the stand-ins.
func measureDeployment(ctx context.Context, o Options) ([]Line, error) {
	line := func(what, unit string, b Budget, why string) Line {
		return Line{Name: "deployment: " + what, SizeUnit: "instances", CostUnit: unit, DesignSize: designNodes, Budget: b, BudgetFactor: 1, Explanation: why}
	}
	lines := []Line{
		line("processor time of an idle instance and its share of the stand-ins", "ms/s", NoBudget, "12 replicas, 84 rows"),
		line("control events of an instance", "1/s", NoBudget, "12 replicas, 84 rows"),
		line("table service reads, idle", "1/s", StoreReads, "calls by all instances"),
		line("table service writes, idle", "1/s", StoreWrites, "calls by all instances"),
		line("table service reads for 1 edit/s", "1/s", StoreReads, "on top of idle ones; measured at 10 edits/s"),
		line("object store writes, idle", "1/s", NoBudget, "by all instances"),
		line("list reads", "1/s", NoBudget, "by all instances"),
	}
	lines[4].BudgetFactor = designEditsPerDay / 86400.0
	lines[4].Explanation = "8,200 edits a day; measured at 10/s"
	for _, n := range o.sizes(1, 2, 4, 8, 16) {
		c, err := runDeployment(ctx, o, n)
		if err != nil {
			return nil, fmt.Errorf("%d instances: %w", n, err)
		}
		for i, v := range []float64{c.processorMillis, c.controlEvents, c.tableReads, c.tableWrites, c.additionalReads / c.editRate, c.objectWrites, c.listReads} {
			addSample(&lines[i], n, v)
		}
	}
	return lines, nil
}

func runDeployment(ctx context.Context, o Options, instances int) (deploymentCost, error) {
	d := dev.Deployments()["ladang-petik"]
	r, err := dev.Start(ctx, dev.Options{Deployment: d, Instances: instances, Log: log.New(io.Discard)})
	if err != nil {
		return deploymentCost{}, err
	}
	c, err := observeDeployment(ctx, o, r)
	if stopErr := r.Stop(ctx); err == nil {
		err = stopErr
	}
	return c, err
}

func observeDeployment(ctx context.Context, o Options, r *dev.Running) (deploymentCost, error) {
	readyCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := r.WaitFirstRoutable(readyCtx); err != nil {
		return deploymentCost{}, err
	}
	time.Sleep(o.duration(10 * time.Second)) // lets the first loads and lease hand-overs complete
	instances := float64(len(r.Instances))
	counts, events, usedBefore, started := r.Platform.Counts(), controlEvents(r), processorTime(), time.Now()
	time.Sleep(o.duration(10 * time.Second))
	seconds := time.Since(started).Seconds()
	after := r.Platform.Counts()
	perSecond := func(f func(standinplatform.Counts) int, s standinplatform.Service) float64 {
		return float64(f(after[s])-f(counts[s])) / seconds
	}
	reads := func(c standinplatform.Counts) int { return c.Reads }
	writes := func(c standinplatform.Counts) int { return c.Writes }
	c := deploymentCost{
		processorMillis: (processorTime() - usedBefore).Seconds() * 1e3 / seconds / instances,
		controlEvents:   (controlEvents(r) - events) / seconds / instances,
		tableReads:      perSecond(reads, standinplatform.Tables), tableWrites: perSecond(writes, standinplatform.Tables),
		objectWrites: perSecond(writes, standinplatform.Objects), listReads: perSecond(reads, standinplatform.Instances),
	}
	counts, started = r.Platform.Counts(), time.Now()
	edits, err := editRows(ctx, r, o.duration(5*time.Second))
	seconds = time.Since(started).Seconds()
	after = r.Platform.Counts()
	c.editRate = float64(edits) / seconds
	c.additionalReads = max(0, perSecond(reads, standinplatform.Tables)-c.tableReads)
	return c, err
}

// editRows edits one row editsPerSecond times per second for d and returns the
// number of accepted edits.
func editRows(ctx context.Context, r *dev.Running, d time.Duration) (int, error) {
	store := tablestore.New(r.Platform.Tables())
	rows := r.Options.Deployment.Work
	ticker := time.NewTicker(time.Second / editsPerSecond)
	defer ticker.Stop()
	edits := 0
	for end := time.Now().Add(d); time.Now().Before(end); edits++ {
		row := rows[0]
		row.Weight = 1 + float64(edits%7)/10
		current, err := store.Load(ctx)
		if err != nil {
			return edits, err
		}
		old, _ := current.Row(row.Name)
		row.RowVersion = old.RowVersion
		if _, err := store.Edit(ctx, table.Edit{Author: "capacity", Changes: []table.Change{{Row: row, BaseVersion: old.RowVersion}}}); err != nil {
			return edits, err
		}
		<-ticker.C
	}
	return edits, nil
}

// controlEvents returns the number of events that the control goroutines of all
// instances have handled.
func controlEvents(r *dev.Running) float64 {
	total := 0.0
	for _, i := range r.Instances {
		var vars struct {
			Control struct {
				Events float64 `json:"events_handled"`
			} `json:"control"`
		}
		if json.Unmarshal([]byte(i.Vars().String()), &vars) == nil {
			total += vars.Control.Events
		}
	}
	return total
}
