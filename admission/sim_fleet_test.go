package admission_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// dispatch puts a request on an engine, which serves its slots by priority.
func (s *sim) dispatch(r *simRequest, e *simEngine) {
	r.granted, r.on = s.now, e
	if e.dead {
		try := r.number
		s.at(s.now.Add(time.Millisecond), func() {
			if r.number == try {
				s.lose(r)
			}
		})
		return
	}
	queue := r.rank
	if s.policy.queue == admission.FIFO {
		queue = 0
	}
	e.waiting[queue] = append(e.waiting[queue], r)
	s.serve(e)
}

func (s *sim) serve(e *simEngine) {
	for rank := range e.waiting {
		for e.running < s.load.slots && len(e.waiting[rank]) > 0 {
			r := e.waiting[rank][0]
			e.waiting[rank] = e.waiting[rank][1:]
			e.running++
			first := s.now.Add(prefill)
			try := r.number
			s.at(s.now.Add(r.service), func() {
				if !e.dead && !r.at.dead && r.number == try {
					s.finish(r, e, first)
				}
			})
		}
	}
}

func (s *sim) finish(r *simRequest, e *simEngine, first time.Time) {
	e.running--
	delete(s.requests, r.request.ID)
	if first.After(s.now) {
		first = s.now
	}
	if s.measuring() {
		s.results[r.rank].busySlots += r.service.Seconds()
	}
	total, firstToken := s.now.Sub(r.arrived), first.Sub(r.arrived)
	if r.counted {
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
	s.serve(e)
	s.step(r.at, admission.Finish{Outcome: admission.Outcome{
		ID: r.request.ID, Endpoint: e.endpoint.ID, Duration: s.now.Sub(r.granted), Total: total, FirstToken: firstToken,
	}})
}

// loseDataCentre ends the instances and replicas of one data centre.
func (s *sim) loseDataCentre() {
	for _, in := range s.instances {
		in.dead = s.dataCentreOf(in) == "dc0"
	}
	for _, e := range s.engines {
		e.dead = e.endpoint.DataCentre == "dc0"
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; r.at.dead {
			s.abandon(r)
		} else if r.on != nil && r.on.dead {
			s.lose(r)
		}
	}
	s.at(s.now.Add(3*time.Second), func() { s.listed = true })
	s.at(s.now.Add(5*time.Second), func() { s.forgotten = true })
}

// abandon drops a request of a dead instance, whose caller sees a broken
// connection. A living engine goes on until it notices; that is left out.
func (s *sim) abandon(r *simRequest) {
	delete(s.requests, r.request.ID)
	if r.on != nil && !r.on.dead {
		e := r.on
		for rank := range e.waiting {
			if i := slices.Index(e.waiting[rank], r); i >= 0 {
				e.waiting[rank] = slices.Delete(e.waiting[rank], i, i+1)
				return
			}
		}
		e.running--
		s.serve(e)
	}
}

// lose reports a broken connection to an engine and asks for another one.
func (s *sim) lose(r *simRequest) {
	if r.at.dead || s.requests[r.request.ID] != r {
		return
	}
	s.step(r.at, admission.Finish{Outcome: admission.Outcome{ID: r.request.ID, Endpoint: r.on.endpoint.ID, Result: admission.ResultLost}})
	delete(s.requests, r.request.ID)
	s.nextID++
	r.number++
	r.request.ID, r.request.Readmitted = s.nextID, true
	r.request.Exclude = append(slices.Clone(r.request.Exclude), r.on.endpoint.ID)
	r.on, r.granted = nil, time.Time{}
	s.requests[r.request.ID] = r
	s.step(r.at, admission.Arrive{Request: r.request})
}

func (s *sim) dataCentreOf(in *simInstance) string {
	return fmt.Sprint("dc", slices.Index(s.instances, in)%3)
}

func (s *sim) takeReports() {
	for _, e := range s.engines {
		waiting := 0
		for _, w := range e.waiting {
			waiting += len(w)
		}
		report := simReport{running: e.running, waiting: waiting, at: s.now}
		s.at(s.now.Add(reportDelay), func() { e.report = report })
	}
	s.at(s.now.Add(reportPeriod), s.takeReports)
}

func (s *sim) gossip(in *simInstance) {
	if in.dead {
		return
	}
	stats := in.queue.Stats(s.now)
	in.gossip[in.id] = stats
	for _, other := range s.instances {
		if other != in {
			s.at(s.now.Add(gossipDelay), func() { other.gossip[in.id] = stats })
		}
	}
	s.publishView(in)
	s.at(s.now.Add(gossipPeriod), func() { s.gossip(in) })
}

func (s *sim) publishView(in *simInstance) {
	v := &admission.View{}
	for _, e := range s.engines {
		window := admission.WholeWindow(s.load.slots, 0, simFloors)
		if s.policy.shares {
			window = admission.Shares(in.id, s.demandOn(in, e), admission.Contended{
				Key: string(e.endpoint.ID), Slots: s.load.slots, Floors: simFloors,
			})
		}
		v.Endpoints = append(v.Endpoints, admission.EndpointView{
			Endpoint: e.endpoint, Window: window, Residents: e.residents,
			Closed:  e.dead && s.listed,
			Running: e.report.running, Waiting: e.report.waiting, ReportedAt: e.report.at,
		})
	}
	s.step(in, admission.ViewChanged{View: v})
}

// demandOn is what the instance knows of the demand for one engine.
func (s *sim) demandOn(in *simInstance, e *simEngine) []admission.MemberDemand {
	resident := map[string]bool{}
	for _, r := range e.residents {
		for rank := range fleet.RankCount {
			resident[fmt.Sprint(r.Name, "-", rank)] = true
		}
	}
	copies := float64(simCopies)
	if s.listed {
		copies-- // one was in the lost data centre
	}
	var out []admission.MemberDemand
	for _, other := range s.instances {
		if other.dead && s.forgotten {
			continue
		}
		d := admission.MemberDemand{Member: other.id}
		for _, row := range in.gossip[other.id].Rows {
			if resident[row.Row] {
				d.Rows = append(d.Rows, admission.Demand{Row: row.Row, Rank: row.Rank, Weight: 1, Slots: row.Slots() / copies})
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
