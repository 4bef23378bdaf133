package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/table"
)

// measureMemory measures the memory of the states that grow with the size of the
// fleet.
func measureMemory(context.Context, Options) ([]Line, error) {
	const mb = 1 << 20
	line := func(what, varied string, full float64, why string) Line {
		return Line{Name: "memory: " + what, SizeUnit: varied, CostUnit: "MB", DesignSize: full, Budget: Memory, BudgetFactor: 1, Explanation: why, IsPart: true}
	}
	nodes, replicas := []int{52, 105, 210, 420}, []int{675, 1350, 2700, 5400}
	return []Line{
		measureSeries(line("membership, with heartbeats and summaries", "nodes", designNodes, "440 rows, 5,400 reports"), nodes, func(n int) float64 {
			s := scaledFleet(n, designModels)
			return heapBytes(2, func(int) any { return populatedMembership(s, 0, epoch) }) / mb
		}),
		measureSeries(line("stored ledgers", "replicas", designReplicas, "8 entries each"), replicas, func(n int) float64 {
			s := newSyntheticFleet(designNodes, n, designModels)
			return heapBytes(2, func(int) any { return s.ledgerRecords() }) / mb
		}),
		measureSeries(line("admission view and router", "replicas", designReplicas, "8 residents each"), replicas, func(n int) float64 {
			s := newSyntheticFleet(designNodes, n, designModels)
			return heapBytes(2, func(int) any {
				q := admission.NewQueue(admission.Config{})
				q.Step(epoch, admission.ViewChanged{View: s.admissionView(1)})
				return q
			}) / mb
		}),
		measureSeries(line("table", "rows", designModels+designAdapters, "adapters included"), []int{220, 440, 880, 1760}, func(n int) float64 {
			return heapBytes(8, func(int) any {
				return table.NewSnapshot(1, newSyntheticFleet(1, 1, n/(1+adaptersOnModel)).rows())
			}) / mb
		}),
		measureSeries(line("requests in the queue", "waiting requests", 12000, "3 ranks at their bound of 4,000"), []int{1000, 2000, 4000, 12000}, func(n int) float64 {
			return heapBytes(2, func(int) any { return queueWithWaiting(n) }) / mb
		}),
	}, nil
}

// queueWithWaiting returns a queue with n requests for one replica.
func queueWithWaiting(n int) *admission.Queue {
	q := admission.NewQueue(admission.Config{QueueBound: [3]int{n, n, n}})
	q.Step(epoch, admission.ViewChanged{View: newSyntheticFleet(1, 1, 4).admissionView(1)})
	for i := range n {
		r := newRequest(uint64(i + 1))
		r.Model = modelName(i % modelsOnReplica)
		r.Row = fmt.Sprint("row-", i%designModels)
		q.Step(epoch.Add(time.Duration(i)), admission.Arrive{Request: r})
	}
	return q
}
