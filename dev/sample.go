package dev

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

// Deployment describes a sample deployment: its data centres, pools and rows.
type Deployment struct {
	Name             string
	DataCentres      []fleet.DataCentre
	Pool             string // name of the model pool
	Replicas         int    // number of engines in the model pool
	ServicePool      string // name of the plain service and its pool
	ServiceEndpoints int    // number of endpoints in the service pool
	ModelPrefix      string // prefix of the names of models and adapters
	Models           int
	Adapters         int

	// Limits of the weight store: model loads started per second, concurrent
	// model loads, and concurrent adapter loads that are not slowed down.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	MaxAdapterLoads    int
	AdapterLoadTime    time.Duration // load time of one adapter that is not slowed down

	Work          []table.Row // kinds of work, each served by a base model
	NotIdempotent []string    // service operations that must not be repeated, such as "POST /bookings"
}

const (
	replicaMemoryMB = 80_000
	replicaSlots    = 16
	serviceSlots    = 32
	modelMemoryMB   = 14_000
	adapterMemoryMB = 160
	// modelSizeCount is the number of different model sizes, 1,000 MB apart.
	modelSizeCount = 6
)

// Deployments returns the sample deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{
		"ladang-petik": {
			Name: "ladang-petik", DataCentres: []fleet.DataCentre{"kul-a", "kul-b", "kul-c"},
			Pool: "language-models", Replicas: 12, ServicePool: "booking", ServiceEndpoints: 3,
			ModelPrefix: "ladang", Models: 20, Adapters: 60,
			LoadsPerSecond: 1.5, MaxConcurrentLoads: 10, MaxAdapterLoads: 90, AdapterLoadTime: 10 * time.Millisecond,
			NotIdempotent: []string{"POST /bookings", "POST /holds"},
			Work: []table.Row{
				workRow("slot-confirmation", "ladang-01", fleet.Urgent, 3, newTargets(500*time.Millisecond, 3*time.Second)),
				workRow("date-lookup", "ladang-02", fleet.Urgent, 2, newTargets(500*time.Millisecond, 3*time.Second)),
				workRow("growers-answer", "ladang-03", fleet.Prompt, 2, newTargets(2*time.Second, 20*time.Second)),
				workRow("visit-summary", "ladang-04", fleet.Patient, 1, newTargets(0, 5*time.Minute)),
			},
		},
		"tsagaan-nuur": {
			Name: "tsagaan-nuur", DataCentres: []fleet.DataCentre{"ub-khan-uul", "ub-sukhbaatar", "ub-bayanzurkh"},
			Pool: "drafting-models", Replicas: 18, ServicePool: "booking-desk", ServiceEndpoints: 3,
			ModelPrefix: "nuur", Models: 25, Adapters: 100,
			LoadsPerSecond: 2, MaxConcurrentLoads: 6, MaxAdapterLoads: 50, AdapterLoadTime: 8 * time.Millisecond,
			NotIdempotent: []string{"POST /bookings", "POST /holds"},
			Work: []table.Row{
				workRow("deposit-question", "nuur-01", fleet.Urgent, 3, newTargets(500*time.Millisecond, 3*time.Second)),
				workRow("date-lookup", "nuur-02", fleet.Urgent, 2, newTargets(500*time.Millisecond, 3*time.Second)),
				workRow("contract-draft", "nuur-03", fleet.Prompt, 3, newTargets(2*time.Second, 20*time.Second)),
				workRow("rider-summary", "nuur-04", fleet.Patient, 1, newTargets(0, 5*time.Minute)),
			},
		},
	}
}

func workRow(name, base string, rank fleet.Rank, weight float64, t table.Targets) table.Row {
	return table.Row{Name: name, Kind: table.KindWork, Rank: rank, Weight: weight, Base: base, Targets: t}
}

func newTargets(firstToken, wholeAnswer time.Duration) table.Targets {
	return table.Targets{FirstToken: firstToken, WholeAnswer: wholeAnswer}
}

// Rows returns the deployment's sample table.
func (d Deployment) Rows() []table.Row {
	rows := []table.Row{
		{Name: "urgent", Kind: table.KindRank, Rank: fleet.Urgent, Weight: 1, Floor: 0.5},
		{Name: "prompt", Kind: table.KindRank, Rank: fleet.Prompt, Weight: 1, Floor: 0.15},
		{Name: "patient", Kind: table.KindRank, Rank: fleet.Patient, Weight: 1, Floor: 0.05},
		{
			Name: d.ServicePool, Kind: table.KindService, Rank: fleet.Urgent, Weight: 1, Pool: d.ServicePool,
			NotIdempotent: d.NotIdempotent, Targets: table.Targets{WholeAnswer: 5 * time.Second},
		},
	}
	for i := range d.Models {
		rows = append(rows, table.Row{
			Name: d.modelName(i), Kind: table.KindModel, Rank: d.rankOfIndex(i), Weight: 1, Pool: d.Pool,
			Version: "1", MemoryMB: modelMemoryMB + 1000*(i%modelSizeCount), Targets: rankTargets(d.rankOfIndex(i)),
		})
	}
	for i := range d.Adapters {
		rows = append(rows, table.Row{
			Name: fmt.Sprintf("%s-adapter-%02d", d.ModelPrefix, i+1), Kind: table.KindAdapter, Rank: d.rankOfIndex(i), Weight: 1,
			Base: d.modelName(i % d.Models), Version: "1", MemoryMB: adapterMemoryMB, Targets: rankTargets(d.rankOfIndex(i)),
		})
	}
	return append(rows, d.Work...)
}

func (d Deployment) modelName(i int) string { return fmt.Sprintf("%s-%02d", d.ModelPrefix, i+1) }

func (d Deployment) rankOfIndex(i int) fleet.Rank { return fleet.Ranks()[i%fleet.RankCount] }

func rankTargets(r fleet.Rank) table.Targets {
	switch r {
	case fleet.Urgent:
		return newTargets(time.Second, 10*time.Second)
	case fleet.Prompt:
		return newTargets(3*time.Second, 30*time.Second)
	default:
		return newTargets(0, 5*time.Minute)
	}
}
