package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/table"
)

// measureMemory measures the memory of the states that grow with the fleet.
func measureMemory(context.Context, Options) ([]Line, error) {
	const mb = 1 << 20
	line := func(what, varied string, full float64, why string) Line {
		return Line{Name: "memory: " + what, Varied: varied, Unit: "MB", Full: full, Budget: Memory, Rate: 1, Why: why, Part: true}
	}
	nodes, replicas := []int{52, 105, 210, 420}, []int{675, 1350, 2700, 5400}
	return []Line{
		series(line("membership, with heartbeats and summaries", "nodes", fullNodes, "440 rows, 5,400 reports"), nodes, func(n int) float64 {
			s := scaled(n, fullModels)
			return heapBytes(2, func(int) any { return populated(s, 0, epoch) }) / mb
		}),
		series(line("stored ledgers", "replicas", fullReplicas, "8 entries each"), replicas, func(n int) float64 {
			s := newSynthetic(fullNodes, n, fullModels)
			return heapBytes(2, func(int) any { return s.records() }) / mb
		}),
		series(line("admission view and router", "replicas", fullReplicas, "8 residents each"), replicas, func(n int) float64 {
			s := newSynthetic(fullNodes, n, fullModels)
			return heapBytes(2, func(int) any {
				q := admission.NewQueue(admission.Config{})
				q.Step(epoch, admission.ViewChanged{View: s.view(1)})
				return q
			}) / mb
		}),
		series(line("table", "rows", fullModels+fullAdapters, "adapters included"), []int{220, 440, 880, 1760}, func(n int) float64 {
			return heapBytes(8, func(int) any {
				return table.NewSnapshot(1, newSynthetic(1, 1, n/(1+adaptersOnModel)).rows())
			}) / mb
		}),
		series(line("requests in the queue", "waiting requests", 12000, "3 ranks at their bound of 4,000"), []int{1000, 2000, 4000, 12000}, func(n int) float64 {
			return heapBytes(2, func(int) any { return waitingQueue(n) }) / mb
		}),
	}, nil
}

// waitingQueue returns a queue in which n requests wait for one replica.
func waitingQueue(n int) *admission.Queue {
	q := admission.NewQueue(admission.Config{QueueBound: [3]int{n, n, n}})
	q.Step(epoch, admission.ViewChanged{View: newSynthetic(1, 1, 4).view(1)})
	for i := range n {
		r := request(uint64(i + 1))
		r.Model = modelName(i % modelsOnReplica)
		r.Row = fmt.Sprint("row-", i%fullModels)
		q.Step(epoch.Add(time.Duration(i)), admission.Arrive{Request: r})
	}
	return q
}
