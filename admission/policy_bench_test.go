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
	{name: "no flood, 80%", flood: -1, base: 0.8, slots: 16},
	{name: "patient flood, 5 times", flood: 2, level: 5, base: 0.8, slots: 16},
	{name: "prompt flood, 5 times", flood: 1, level: 5, base: 0.8, slots: 16},
	{name: "urgent flood, 5 times", flood: 0, level: 5, base: 0.8, slots: 16},
	{name: "patient flood through one instance", flood: 2, level: 5, base: 0.8, slots: 16, through: true},
	{name: "urgent flood through one instance", flood: 0, level: 5, base: 0.8, slots: 16, through: true},
	{name: "data centre lost", flood: -1, base: 0.8, slots: 16, lost: true},
	{name: "no flood, 80%, 8 slots", flood: -1, base: 0.8, slots: 8},
	{name: "patient flood, 8 slots", flood: 2, level: 5, base: 0.8, slots: 8},
	{name: "urgent flood, 8 slots", flood: 0, level: 5, base: 0.8, slots: 8},
}

var simSeeds = []uint64{1, 2, 3, 4, 5}

// BenchmarkPolicies plays the overload cases under virtual time and prints one
// row per case and policy, summed over the seeds. Attainment counts requests
// sent, so a refused one misses; slots is the part of all slot time that each
// rank had, and goodput the part that went to urgent answers within target.
func BenchmarkPolicies(b *testing.B) {
	fmt.Printf("\n| case | policy | urgent | prompt | patient | worst seed | slots urgent | prompt | patient | urgent goodput | refused | expired |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range simCases {
		for _, p := range simPolicies {
			b.Run(c.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					playSeeds(p, c)
				}
			})
		}
	}
}

func playSeeds(p simPolicy, c simCase) {
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
	if c.lost {
		capacity /= 3 // half of the time, two of three data centres
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
