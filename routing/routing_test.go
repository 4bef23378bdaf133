package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoint(i, slots int, residents ...Resident) Endpoint {
	return Endpoint{
		Endpoint: fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Pool: "m", DataCentre: "a", Slots: slots},
		Window:   slots, RankLimits: [fleet.RankCount]int{slots, slots, slots}, NonUrgentLimit: slots, Residents: residents,
	}
}

func readyModel(name string) Resident { return Resident{Name: name, Version: "1", Ready: true} }

var modelQuery = Query{Key: Key{Pool: "m", Model: "m", Version: "1"}}

// Guards against choosing an endpoint that is closed, leaving, excluded, full or
// without a ready model, and against choosing none although one is usable.
func TestChoosesOnlyUsableEndpoints(t *testing.T) {
	for _, policy := range []Policy{BestOfTwo, RoundRobin, LeastLoaded} {
		t.Run(policy.String(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				r := New(Config{Policy: policy, DataCentre: "a", Seed: 1})
				var all []Endpoint
				usable := map[fleet.EndpointID]bool{}
				q := modelQuery
				for i := range rapid.IntRange(0, 40).Draw(t, "endpoints") {
					e := endpoint(i, rapid.IntRange(0, 2).Draw(t, "slots"), readyModel("m"))
					kind := rapid.IntRange(0, 6).Draw(t, "kind")
					switch kind {
					case 0:
						e.Closed = true
					case 1:
						e.Leaving = true
					case 2:
						q.Exclude = append(q.Exclude, e.ID)
					case 3:
						e.Residents = []Resident{{Name: "m", Version: "1"}} // not ready
					}
					usable[e.ID] = kind > 3 && e.Window > 0
					all = append(all, e)
				}
				r.Replace(epoch, all)
				q.Fingerprint = rapid.Uint64Range(0, 3).Draw(t, "fingerprint")
				p, ok := r.Choose(&q)
				if ok && !usable[r.Endpoint(p.EndpointIndex).ID] {
					t.Fatalf("chose unusable endpoint %+v", r.Endpoint(p.EndpointIndex))
				}
				for id, u := range usable {
					if u && !ok {
						t.Fatalf("no endpoint chosen although %s is usable", id)
					}
				}
			})
		})
	}
}

// Guards against equal content being spread over endpoints, and against different
// content being concentrated on a few.
func TestEqualContentPrefersOneEndpoint(t *testing.T) {
	is := is.New(t)
	chosen := map[int]bool{}
	for fingerprint := uint64(1); fingerprint <= 64; fingerprint++ {
		first := -1
		for seed := range uint64(5) { // five instances
			r := New(Config{DataCentre: "a", Seed: seed})
			var all []Endpoint
			for i := range 40 {
				all = append(all, endpoint(i, 8, readyModel("m")))
			}
			r.Replace(epoch, all)
			q := modelQuery
			q.Fingerprint = fingerprint
			p, ok := r.Choose(&q)
			is.True(ok)
			if first >= 0 {
				is.Equal(p.EndpointIndex, first)
			}
			first = p.EndpointIndex
		}
		chosen[first] = true
	}
	is.True(len(chosen) > 15)
}

// Guards against herding: instances with the same outdated report must not all
// choose the endpoint that it shows as idle.
func TestNoHerdingOnOldReports(t *testing.T) {
	is := is.New(t)
	sent := map[int]int{}
	for seed := range uint64(50) {
		r := New(Config{DataCentre: "a", Seed: seed})
		var all []Endpoint
		for i := range 8 {
			e := endpoint(i, 16, readyModel("m"))
			e.Running, e.ReportedAt = i, epoch
			all = append(all, e)
		}
		r.Replace(epoch, all)
		for range 4 {
			q := modelQuery
			p, ok := r.Choose(&q)
			is.True(ok)
			r.RecordSend(epoch, p.EndpointIndex, fleet.Urgent, 0)
			sent[p.EndpointIndex]++
		}
	}
	for _, n := range sent {
		is.True(n < 150) // of 200
	}
	is.True(len(sent) >= 3)
}

// Guards against counting a request twice, or not at all, when a load report
// arrives that was taken after or before the request was sent.
func TestCorrectsReportsByLaterRequests(t *testing.T) {
	is := is.New(t)
	r := New(Config{DataCentre: "a"})
	e := endpoint(0, 8, readyModel("m"))
	r.Replace(epoch, []Endpoint{e})
	r.RecordSend(epoch.Add(time.Second), 0, fleet.Urgent, 0)
	r.RecordSend(epoch.Add(2*time.Second), 0, fleet.Urgent, 0)
	e.ReportedAt, e.Running = epoch.Add(1500*time.Millisecond), 1
	r.Replace(epoch.Add(3*time.Second), []Endpoint{e})
	is.Equal(r.endpoints[0].inFlightChange, 1)
	e.ReportedAt, e.Running = epoch.Add(2500*time.Millisecond), 2
	r.Replace(epoch.Add(3*time.Second), []Endpoint{e})
	is.Equal(r.endpoints[0].inFlightChange, 0)
	r.RecordEnd(epoch.Add(3*time.Second), 0, fleet.Urgent)
	is.Equal(r.endpoints[0].inFlightChange, -1)
}

// Guards against preferences that have no effect or that outweigh a large
// difference in load.
func TestPreferencesAgainstLoad(t *testing.T) {
	is := is.New(t)
	choose := func(change func(home, other *Endpoint), prefix uint64) fleet.EndpointID {
		r := New(Config{DataCentre: "a", Seed: 1})
		home, other := endpoint(0, 8, readyModel("m"), Resident{Name: "x", Ready: true}), endpoint(1, 8, readyModel("m"), Resident{Name: "x", Ready: true})
		change(&home, &other)
		r.Replace(epoch, []Endpoint{home, other})
		r.RecordCacheEvent("e1", 7, false)
		q := modelQuery
		q.Prefix = prefix
		q.Key.Adapter, q.Key.Version = "x", ""
		p, ok := r.Choose(&q)
		is.True(ok)
		return r.Endpoint(p.EndpointIndex).ID
	}
	is.Equal(choose(func(_, o *Endpoint) { o.DataCentre = "b" }, 0), fleet.EndpointID("e0"))
	is.Equal(choose(func(h, o *Endpoint) { o.DataCentre, h.Running = "b", 7 }, 0), fleet.EndpointID("e1"))
	is.Equal(choose(func(_, o *Endpoint) { o.Residents = []Resident{readyModel("m"), {Name: "x"}} }, 0), fleet.EndpointID("e0"))
	is.Equal(choose(func(_, o *Endpoint) { o.Running = 1 }, 7), fleet.EndpointID("e1")) // e1 has cached the prefix
	is.Equal(choose(func(_, o *Endpoint) { o.Running = 5 }, 7), fleet.EndpointID("e0"))
}

// BenchmarkChoose measures one decision at the design size: 5,400 replicas and 440
// models, 4 models per replica.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range []Policy{BestOfTwo, RoundRobin, LeastLoaded} {
		b.Run(policy.String(), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			var all []Endpoint
			for i := range 5400 {
				e := endpoint(i, 16)
				e.DataCentre, e.Running, e.ReportedAt = fleet.DataCentre(fmt.Sprint(i%12)), random.IntN(16), epoch
				for k := range 4 {
					e.Residents = append(e.Residents, readyModel(fmt.Sprint("m", (i*4+k)%440)))
				}
				all = append(all, e)
			}
			r := New(Config{Policy: policy, DataCentre: "3", Seed: 1})
			r.Replace(epoch, all)
			var keys []Key
			for m := range 440 {
				keys = append(keys, Key{Pool: "m", Model: fmt.Sprint("m", m), Version: "1"})
				r.Candidates(keys[m])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q := Query{Key: keys[i%440], Fingerprint: random.Uint64(), Prefix: uint64(i % 1000)}
				p, ok := r.Choose(&q)
				if ok {
					r.RecordSend(epoch, p.EndpointIndex, fleet.Urgent, q.Prefix)
					r.RecordEnd(epoch, p.EndpointIndex, fleet.Urgent)
				}
			}
		})
	}
}

// BenchmarkReplace measures the replacement of all endpoints at the design size.
func BenchmarkReplace(b *testing.B) {
	var all []Endpoint
	for i := range 5400 {
		e := endpoint(i, 16)
		for k := range 4 {
			e.Residents = append(e.Residents, readyModel(fmt.Sprint("m", (i*4+k)%440)))
		}
		all = append(all, e)
	}
	r := New(Config{})
	b.ReportAllocs()
	for b.Loop() {
		r.Replace(epoch, all)
	}
}
