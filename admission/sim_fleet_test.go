package admission_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// submit queues a request on an engine, which serves its queue by rank.
func (s *sim) submit(r *simRequest, e *simEngine) {
	r.granted, r.engine = s.now, e
	if e.dead {
		attempt := r.attempt
		s.schedule(s.now.Add(time.Millisecond), func() {
			if r.attempt == attempt {
				s.readmitElsewhere(r)
			}
		})
		return
	}
	queue := r.rank
	if s.policy.queue == admission.FIFO {
		queue = 0
	}
	e.waiting[queue] = append(e.waiting[queue], r)
	s.startWaiting(e)
}

// startWaiting starts waiting requests on an engine while it has free slots.
func (s *sim) startWaiting(e *simEngine) {
	for rank := range e.waiting {
		for e.running < s.testCase.slots && len(e.waiting[rank]) > 0 {
			r := e.waiting[rank][0]
			e.waiting[rank] = e.waiting[rank][1:]
			e.running++
			first := s.now.Add(prefillTime)
			attempt := r.attempt
			s.schedule(s.now.Add(r.service), func() {
				if !e.dead && !r.instance.dead && r.attempt == attempt {
					s.complete(r, e, first)
				}
			})
		}
	}
}

func (s *sim) complete(r *simRequest, e *simEngine, first time.Time) {
	e.running--
	delete(s.requests, r.request.ID)
	if first.After(s.now) {
		first = s.now
	}
	if s.measuring() {
		s.results[r.rank].busySlots += r.service.Seconds()
	}
	total, firstToken := s.now.Sub(r.arrived), first.Sub(r.arrived)
	if r.inResults {
		res := &s.results[r.rank]
		res.answered++
		t := simTargets[r.rank]
		if total <= t.WholeAnswer && (t.FirstToken == 0 || firstToken <= t.FirstToken) {
			res.attained++
			if s.measuring() {
				res.goodSlots += r.service.Seconds()
			}
		}
	}
	s.startWaiting(e)
	s.stepQueue(r.instance, admission.Finish{Outcome: admission.Outcome{
		ID: r.request.ID, Endpoint: e.endpoint.ID, Duration: s.now.Sub(r.granted), Total: total, FirstToken: firstToken,
	}})
}

// loseDataCentre stops all instances and replicas of data centre dc0. The platform
// delists its replicas after 3 s, and the peers remove its instances after 5 s.
func (s *sim) loseDataCentre() {
	for _, in := range s.instances {
		in.dead = s.dataCentreOf(in) == "dc0"
	}
	for _, e := range s.engines {
		e.dead = e.endpoint.DataCentre == "dc0"
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; r.instance.dead {
			s.dropRequest(r)
		} else if r.engine != nil && r.engine.dead {
			s.readmitElsewhere(r)
		}
	}
	s.schedule(s.now.Add(3*time.Second), func() { s.replicasDelisted = true })
	s.schedule(s.now.Add(5*time.Second), func() { s.instancesRemoved = true })
}

// dropRequest removes a request of a dead instance, whose caller sees a broken
// connection. An engine that is alive stops serving it at once; the simulation
// omits the delay until the engine notices.
func (s *sim) dropRequest(r *simRequest) {
	delete(s.requests, r.request.ID)
	if r.engine != nil && !r.engine.dead {
		e := r.engine
		for rank := range e.waiting {
			if i := slices.Index(e.waiting[rank], r); i >= 0 {
				e.waiting[rank] = slices.Delete(e.waiting[rank], i, i+1)
				return
			}
		}
		e.running--
		s.startWaiting(e)
	}
}

// readmitElsewhere reports a broken connection to an engine and readmits the
// request with that engine excluded.
func (s *sim) readmitElsewhere(r *simRequest) {
	if r.instance.dead || s.requests[r.request.ID] != r {
		return
	}
	s.stepQueue(r.instance, admission.Finish{Outcome: admission.Outcome{ID: r.request.ID, Endpoint: r.engine.endpoint.ID, Result: admission.ResultLost}})
	delete(s.requests, r.request.ID)
	s.nextID++
	r.attempt++
	r.request.ID, r.request.Readmitted = s.nextID, true
	r.request.Exclude = append(slices.Clone(r.request.Exclude), r.engine.endpoint.ID)
	r.engine, r.granted = nil, time.Time{}
	s.requests[r.request.ID] = r
	s.stepQueue(r.instance, admission.Arrive{Request: r.request})
}

func (s *sim) dataCentreOf(in *simInstance) string {
	return fmt.Sprint("dc", slices.Index(s.instances, in)%3)
}

// collectReports periodically records the load of every engine, which is visible
// to the instances after reportDelay.
func (s *sim) collectReports() {
	for _, e := range s.engines {
		waiting := 0
		for _, w := range e.waiting {
			waiting += len(w)
		}
		report := simReport{running: e.running, waiting: waiting, at: s.now}
		s.schedule(s.now.Add(reportDelay), func() { e.report = report })
	}
	s.schedule(s.now.Add(reportPeriod), s.collectReports)
}

// gossip periodically sends an instance's load to its peers and updates its view.
func (s *sim) gossip(in *simInstance) {
	if in.dead {
		return
	}
	stats := in.queue.Stats(s.now)
	in.gossip[in.id] = stats
	for _, other := range s.instances {
		if other != in {
			s.schedule(s.now.Add(gossipDelay), func() { other.gossip[in.id] = stats })
		}
	}
	s.publishView(in)
	s.schedule(s.now.Add(gossipPeriod), func() { s.gossip(in) })
}

func (s *sim) publishView(in *simInstance) {
	v := &admission.View{}
	for _, e := range s.engines {
		window := admission.WholeWindow(s.testCase.slots, 0, simFloors)
		if s.policy.useShares {
			window = admission.EndpointWindow(in.id, s.demandFor(in, e), admission.SharedEndpoint{
				Key: string(e.endpoint.ID), Slots: s.testCase.slots, Floors: simFloors,
			})
		}
		v.Endpoints = append(v.Endpoints, admission.EndpointView{
			Endpoint: e.endpoint, Window: window, Residents: e.residents,
			Closed:  e.dead && s.replicasDelisted,
			Running: e.report.running, Waiting: e.report.waiting, ReportedAt: e.report.at,
		})
	}
	s.stepQueue(in, admission.ViewChanged{View: v})
}

// demandFor returns the demand for one engine as known to an instance.
func (s *sim) demandFor(in *simInstance, e *simEngine) []admission.MemberDemand {
	resident := map[string]bool{}
	for _, r := range e.residents {
		for rank := range fleet.RankCount {
			resident[fmt.Sprint(r.Name, "-", rank)] = true
		}
	}
	replicas := float64(simReplicasPerModel)
	if s.replicasDelisted {
		replicas-- // one replica was in the lost data centre
	}
	var out []admission.MemberDemand
	for _, other := range s.instances {
		if other.dead && s.instancesRemoved {
			continue
		}
		d := admission.MemberDemand{Member: other.id}
		for _, row := range in.gossip[other.id].Rows {
			if resident[row.Row] {
				d.Rows = append(d.Rows, admission.Demand{Row: row.Row, Rank: row.Rank, Weight: 1, Slots: row.Slots() / replicas})
			}
		}
		for _, at := range in.gossip[other.id].Endpoints {
			if at.Endpoint == e.endpoint.ID {
				d.InFlight = at.InFlight
			}
		}
		out = append(out, d)
	}
	return out
}
