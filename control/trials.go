package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// connectionLost starts a probe of the endpoint, because a broken connection
// is a crash only if the endpoint has died; a cut network punishes nobody.
func (c *core) connectionLost(now time.Time, r running) {
	if _, probing := c.requests.probes[r.endpoint]; probing || c.requests.dead[r.endpoint] == r.bootID && r.bootID != "" {
		return // this death is being looked into, or is known already
	}
	p := &probe{bootID: r.bootID, since: now}
	for id := range c.requests.byEndpoint[r.endpoint] {
		// Requests granted since a restart were not there when it died.
		if other := c.requests.running[id]; other.request.Fingerprint != 0 && other.bootID == r.bootID {
			p.lost = append(p.lost, other)
		}
	}
	if e, ok := c.endpoint(r.endpoint); ok && e.Kind == fleet.ModelEngine && len(p.lost) > 0 {
		c.requests.probes[r.endpoint] = p
		c.emit(Probe{Endpoint: e})
	}
}

// probeDone learns whether the endpoint has died. A death is judged a little
// later, together with others.
func (c *core) probeDone(now time.Time, ev ProbeDone) {
	p, ok := c.requests.probes[ev.Endpoint]
	if !ok || !p.diedAt.IsZero() {
		return
	}
	if ev.OK && ev.BootID == p.bootID {
		c.endProbe(now, ev.Endpoint, p)
		return
	}
	p.diedAt = now
	c.probeDataCentre(now, ev.Endpoint)
}

// probeDataCentre probes the other engines of a data centre in which two have
// died, because this instance need not have requests on all that are lost.
func (c *core) probeDataCentre(now time.Time, id fleet.EndpointID) {
	lost, ok := c.endpoint(id)
	if !ok {
		return
	}
	died := 0
	var others []fleet.Endpoint
	for _, e := range c.listing.Endpoints {
		if e.Kind != fleet.ModelEngine || e.DataCentre != lost.DataCentre {
			continue
		}
		if p, probing := c.requests.probes[e.ID]; !probing {
			others = append(others, e)
		} else if !p.diedAt.IsZero() {
			died++
		}
	}
	if died != commonCauseDeaths-1 {
		return
	}
	for _, e := range others {
		c.requests.probes[e.ID] = &probe{bootID: c.bootID(e.ID), since: now}
		c.emit(Probe{Endpoint: e})
	}
}

// settleDeaths judges the endpoints that have died. A request takes down one
// endpoint at a time, so endpoints that die together without a content in
// common have lost their rack or data centre, and what ran on them is not
// suspected. Trials of all that ran in a lost data centre would keep the
// remaining endpoints from urgent work.
func (c *core) settleDeaths(now time.Time) {
	var died []fleet.EndpointID
	due := false
	for _, id := range sortedKeys(c.requests.probes) {
		if p := c.requests.probes[id]; !p.diedAt.IsZero() {
			died = append(died, id)
			due = due || now.Sub(p.diedAt) >= deathSettleTime
		}
	}
	if !due {
		return
	}
	together := len(died) >= commonCauseDeaths && !c.shareContent(died)
	for _, id := range died {
		p := c.requests.probes[id]
		if together {
			c.requests.dead[id] = p.bootID
			c.endTrials(now, p, quarantine.TrialInconclusive)
		} else {
			c.endpointLost(now, id, p)
		}
		c.endProbe(now, id, p)
	}
	if together {
		c.changed(ChangeEndpointLost, Field{"endpoints", fmt.Sprint(len(died))}, Field{"cause", "common"})
	}
}

// shareContent reports whether the same content ran on two of the endpoints.
func (c *core) shareContent(endpoints []fleet.EndpointID) bool {
	on := make(map[uint64]fleet.EndpointID)
	for _, id := range endpoints {
		for _, r := range c.requests.probes[id].lost {
			if other, ok := on[r.request.Fingerprint]; ok && other != id {
				return true
			}
			on[r.request.Fingerprint] = id
		}
	}
	return false
}

// endTrials ends the trials that ran on a dead endpoint.
func (c *core) endTrials(now time.Time, p *probe, result quarantine.TrialResult) {
	for _, r := range p.lost {
		if r.trial {
			c.quarantine(now, quarantine.TrialEnded{Request: r.request.ID, Fingerprint: quarantine.Fingerprint(r.request.Fingerprint), Result: result})
		}
	}
}

// endProbe lets the requests that waited for a probe go on.
func (c *core) endProbe(now time.Time, id fleet.EndpointID, p *probe) {
	delete(c.requests.probes, id)
	for _, f := range p.ended {
		c.quarantine(now, quarantine.Ended{Fingerprint: f})
	}
	for _, held := range sortedKeys(c.requests.held) {
		if h := c.requests.held[held]; h.wait == waitProbe && h.probe == id {
			delete(c.requests.held, held)
			c.screen(now, h.request)
		}
	}
}

func (c *core) endpointLost(now time.Time, id fleet.EndpointID, p *probe) {
	c.requests.dead[id] = p.bootID
	c.changed(ChangeEndpointLost, Field{"endpoint", string(id)}, Field{"in_flight", fmt.Sprint(len(p.lost))})
	loss := quarantine.Loss{Endpoint: id, BootID: p.bootID}
	var prints []quarantine.Fingerprint
	var longest time.Duration
	c.endTrials(now, p, quarantine.TrialEndpointLost)
	for _, r := range p.lost {
		f := quarantine.Fingerprint(r.request.Fingerprint)
		if r.trial {
			continue
		}
		if !slices.Contains(prints, f) {
			prints = append(prints, f)
		}
		longest = max(longest, c.quarantineFor(r.request.Row))
	}
	if len(prints) > 0 {
		c.quarantine(now, quarantine.EndpointLost{Loss: loss, Fingerprints: prints, QuarantineFor: longest})
	}
}

// trialFinished reports the end of a trial, except while a probe decides it.
func (c *core) trialFinished(now time.Time, r running, result admission.Result) {
	p, probing := c.requests.probes[r.endpoint]
	ended := quarantine.TrialEnded{Request: r.request.ID, Fingerprint: quarantine.Fingerprint(r.request.Fingerprint)}
	switch {
	case result == admission.ResultAnswered:
		ended.Result = quarantine.TrialCompleted
	case result == admission.ResultLost && probing && p.holds(r.request.ID):
		return // probeDone reports it
	default:
		ended.Result = quarantine.TrialInconclusive
	}
	c.quarantine(now, ended)
}

func (p *probe) holds(id uint64) bool {
	return slices.ContainsFunc(p.lost, func(r running) bool { return r.request.ID == id })
}

// quarantine passes an event to the quarantine state and handles its actions.
func (c *core) quarantine(now time.Time, ev quarantine.Event) {
	for _, a := range c.suspects.Step(now, ev) {
		switch a := a.(type) {
		case quarantine.StartTrial:
			c.startTrial(now, a)
		case quarantine.AdmitRequests:
			for _, id := range a.Requests {
				if h, ok := c.requests.held[id]; ok {
					delete(c.requests.held, id)
					c.queueRequest(now, h.request)
				}
			}
		case quarantine.RefuseRequests:
			for _, id := range a.Requests {
				delete(c.requests.held, id)
				c.refuse(id, admission.ReasonQuarantined, a.Until.Sub(now))
			}
		default:
			c.emit(a)
		}
	}
}

func (c *core) startTrial(now time.Time, a quarantine.StartTrial) {
	h, held := c.requests.held[a.Request]
	e, listed := c.endpoint(a.Endpoint)
	if !held || !listed {
		c.quarantine(now, quarantine.TrialEnded{Request: a.Request, Fingerprint: a.Fingerprint, Result: quarantine.TrialInconclusive})
		return
	}
	delete(c.requests.held, a.Request)
	c.changed(ChangeTrialStarted, Field{"endpoint", string(e.ID)}, Field{"fingerprint", fmt.Sprintf("%016x", uint64(a.Fingerprint))})
	c.requests.running[a.Request] = running{request: h.request}
	c.grant(now, a.Request, admission.Grant{Endpoint: e, Trial: true, Version: h.request.Version})
}
