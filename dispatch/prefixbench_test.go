package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an estimate that serves fewer requests on time than the share for the
// replica that all instances prefer, which the load of the others moves away from.
func TestReplayOfPrefixEstimate(t *testing.T) {
	is := is.New(t)
	late := make(map[bool]int)
	for seed := range uint64(4) {
		for _, active := range []bool{false, true} {
			p := &prefixReplay{
				instances: 30, replicas: 48, models: 12, copies: 144, perSecond: 370, capacity: 100_186, variants: 200,
				length: 10 * time.Second, active: active,
			}
			result := p.run(seed)
			t.Logf("seed %d, active %t: %s", seed, active, result)
			late[active] += result.late
			is.True(result.refused*100 <= result.served)
		}
	}
	is.True(late[true]*100 <= late[false]*97)
}

// One decision of a service whose caches are estimated, or not. One replica in nine holds
// the model: a popular one, with 16 copies on 140 replicas.
func BenchmarkChooseWithPrefixes(b *testing.B) {
	const prompts, parts, every = 1000, 200, 9
	for _, replicas := range []int{140, 5400} {
		for _, active := range []bool{false, true} {
			b.Run(fmt.Sprintf("replicas=%d/estimate=%t", replicas, active), func(b *testing.B) {
				s := warmState(active)
				for i := range replicas {
					model := "m"
					if i%every > 0 {
						model = "other"
					}
					s.SetReplica(fmt.Sprint("r", i), engineReplica(fmt.Sprint("r", i), model))
				}
				requests := make([]*Request, prompts)
				for n := range requests {
					requests[n] = arrive(s, epoch, n, uint64(n%parts), 568)
					answer(s, epoch, requests[n], fmt.Sprint("r", n*every%replicas/every*every), 60*time.Millisecond)
				}
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					s.Choose(epoch, requests[n%prompts], History{})
				}
			})
		}
	}
}
