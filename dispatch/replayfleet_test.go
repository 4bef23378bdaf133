package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/retry"
)

// newReplay returns a replay with instances, replicas and their exchange of states.
func newReplay(seed uint64, instances int, states bool, length time.Duration, infos []*catalog.Replica, speeds []float64, spells bool) *replay {
	p := &replay{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, until: epoch.Add(length), states: states, replicas: make(map[string]*replayReplica), loads: make([]map[string]Load, instances), busy: make(map[string]float64), causes: make(map[Cause]int)}
	for i, info := range infos {
		r := &replayReplica{info: info, speed: speeds[i%len(speeds)], slow: 1, limit: 16, concurrency: 42}
		p.replicas[info.ID] = r
		if spells {
			var change func()
			change = func() {
				r.slow = 1
				if p.random.Float64() < 0.15 {
					r.slow = 2.5
				}
				p.after(time.Duration(p.random.ExpFloat64()*0.6*float64(time.Second)), change)
			}
			p.after(0, change)
		}
	}
	sum := make(map[string]Load)
	for i := range instances {
		s := New(Options{DataCentre: dataCentre(i), Seed: seed + uint64(i), RetryLimits: retry.Limits{Window: 10 * time.Second, Ratio: 0.16, MinPerSecond: 0.05, Burst: 1}})
		s.SetInstances(instances)
		for _, info := range infos {
			s.SetReplica(info.ID, info)
		}
		p.instances = append(p.instances, s)
		var exchange func()
		exchange = func() {
			for id, l := range p.loads[i] {
				sum[id] = sum[id].Sub(l)
			}
			p.loads[i] = s.OwnLoad()
			for id, l := range p.loads[i] {
				sum[id] = sum[id].Add(l)
			}
			others := make(map[string]Load, len(sum))
			for id, l := range sum {
				others[id] = l.Sub(p.loads[i][id])
			}
			p.after(10*time.Millisecond, func() {
				for id, l := range others {
					s.SetPeerLoad(p.now, id, l)
				}
			})
			p.after(250*time.Millisecond, exchange)
		}
		p.after(time.Duration(p.random.Int64N(int64(250*time.Millisecond))), exchange)
	}
	return p
}

// add adds a kind of request, for models with a Zipf distribution.
func (p *replay) add(k *replayKind, model func() string) {
	p.kinds = append(p.kinds, k)
	var next func()
	next = func() {
		if p.now.After(p.until.Add(-4 * time.Second)) {
			return // the rest is for those that wait
		}
		rate := k.rate
		if k.burst != nil {
			rate *= k.burst(p.now.Sub(epoch))
		}
		c := &replayCall{kind: k, first: p.now, gaveUp: p.now.Add(k.wait)}
		if model != nil {
			c.model = model()
		}
		k.count++
		p.submit(c)
		p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.after(0, next)
}

func (p *replay) String() string {
	text := fmt.Sprintf("sends %d rejected %.3f remote %.3f refused %d left %d", p.sends, float64(p.rejected)/float64(max(p.sends, 1)), float64(p.remote)/float64(max(p.sends, 1)), p.refused, p.left)
	for _, k := range p.kinds {
		text += fmt.Sprintf("; %s value %.3f on time %.3f late %.3f", k.name, k.value(), float64(k.onTime)/float64(k.count), float64(k.late)/float64(k.count))
	}
	most, sum := 0.0, 0.0
	for _, b := range p.busy {
		most, sum = math.Max(most, b), sum+b
	}
	return text + fmt.Sprintf("; %v; busiest/mean %.2f", p.causes, most/(sum/float64(len(p.busy))))
}
