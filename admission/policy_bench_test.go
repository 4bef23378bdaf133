package admission_test

import (
	"fmt"
	"testing"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

var simPolicies = []simPolicy{
	{"ranked, best of two", admission.Ranked, routing.BestOfTwo, true},
	{"fifo, round robin", admission.FIFO, routing.RoundRobin, false},
	{"fifo, least loaded", admission.FIFO, routing.LeastLoaded, false},
}

var simCases = []simCase{
	{name: "no flood, 80%", floodRank: -1, baseLoad: 0.8, slots: 16},
	{name: "patient flood, 5 times", floodRank: 2, floodLoad: 5, baseLoad: 0.8, slots: 16},
	{name: "prompt flood, 5 times", floodRank: 1, floodLoad: 5, baseLoad: 0.8, slots: 16},
	{name: "urgent flood, 5 times", floodRank: 0, floodLoad: 5, baseLoad: 0.8, slots: 16},
	{name: "patient flood through one instance", floodRank: 2, floodLoad: 5, baseLoad: 0.8, slots: 16, floodOneInstance: true},
	{name: "urgent flood through one instance", floodRank: 0, floodLoad: 5, baseLoad: 0.8, slots: 16, floodOneInstance: true},
	{name: "data centre lost", floodRank: -1, baseLoad: 0.8, slots: 16, loseDataCentre: true},
	{name: "no flood, 80%, 8 slots", floodRank: -1, baseLoad: 0.8, slots: 8},
	{name: "patient flood, 8 slots", floodRank: 2, floodLoad: 5, baseLoad: 0.8, slots: 8},
	{name: "urgent flood, 8 slots", floodRank: 0, floodLoad: 5, baseLoad: 0.8, slots: 8},
}

var simSeeds = []uint64{1, 2, 3, 4, 5}

// BenchmarkPolicies simulates the overload cases in virtual time and prints one
// row per case and policy, summed over the seeds. Attainment is the fraction of
// the requests sent that met their targets, so a refused request counts as missed.
// The slots columns show each rank's fraction of all slot time, and goodput the
// fraction spent on urgent answers within their targets.
func BenchmarkPolicies(b *testing.B) {
	fmt.Printf("\n| case | policy | urgent | prompt | patient | worst seed | slots urgent | prompt | patient | urgent goodput | refused | expired |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range simCases {
		for _, p := range simPolicies {
			b.Run(c.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					runSeeds(p, c)
				}
			})
		}
	}
}

func runSeeds(p simPolicy, c simCase) {
	type outcome struct {
		seed    int
		results [fleet.RankCount]simResult
	}
	done := make(chan outcome, len(simSeeds))
	for i, seed := range simSeeds {
		go func() { done <- outcome{i, newSim(p, c, seed).run()} }()
	}
	var sum [fleet.RankCount]simResult
	worst := [fleet.RankCount]float64{1, 1, 1}
	for range simSeeds {
		o := <-done
		for r, res := range o.results {
			sum[r].sent += res.sent
			sum[r].answered += res.answered
			sum[r].attained += res.attained
			sum[r].refused += res.refused
			sum[r].expired += res.expired
			sum[r].goodSlots += res.goodSlots
			sum[r].busySlots += res.busySlots
			worst[r] = min(worst[r], float64(res.attained)/float64(max(res.sent, 1)))
		}
	}
	capacity := float64(simReplicas*c.slots*len(simSeeds)) * simMeasured.Seconds()
	if c.loseDataCentre {
		capacity /= 3 // half of the time is measured, on two of three data centres
	}
	fmt.Printf("| %s | %s |", c.name, p.name)
	refused, expired := 0, 0
	for _, res := range sum {
		fmt.Printf(" %.2f%% |", 100*float64(res.attained)/float64(max(res.sent, 1)))
		refused += res.refused
		expired += res.expired
	}
	fmt.Printf(" %.1f / %.1f / %.1f |", 100*worst[0], 100*worst[1], 100*worst[2])
	for _, res := range sum {
		fmt.Printf(" %.1f%% |", 100*res.busySlots/capacity)
	}
	fmt.Printf(" %.1f%% |", 100*sum[fleet.Urgent].goodSlots/capacity)
	fmt.Printf(" %d | %d |\n", refused, expired)
}
