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

// probeDone decides whether the endpoint has died, and lets the requests that
// waited for the answer go on.
func (c *core) probeDone(now time.Time, ev ProbeDone) {
	p, ok := c.requests.probes[ev.Endpoint]
	if !ok {
		return
	}
	delete(c.requests.probes, ev.Endpoint)
	if died := !ev.OK || ev.BootID != p.bootID; died {
		c.endpointLost(now, ev.Endpoint, p)
	}
	for _, f := range p.ended {
		c.quarantine(now, quarantine.Ended{Fingerprint: f})
	}
	for _, id := range sortedKeys(c.requests.held) {
		if h := c.requests.held[id]; h.wait == waitProbe && h.probe == ev.Endpoint {
			delete(c.requests.held, id)
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
	for _, r := range p.lost {
		f := quarantine.Fingerprint(r.request.Fingerprint)
		if r.trial {
			c.quarantine(now, quarantine.TrialEnded{Request: r.request.ID, Fingerprint: f, Result: quarantine.TrialEndpointLost})
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
