package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// connectionLost starts a probe of the endpoint. A broken connection counts as a
// crash only if the endpoint has died; after a network failure, no request becomes
// suspect.
func (c *core) connectionLost(now time.Time, r activeRequest) {
	if _, probing := c.requests.probes[r.endpoint]; probing || c.requests.deadBootIDs[r.endpoint] == r.bootID && r.bootID != "" {
		return // a probe is pending, or the death is already known
	}
	p := &probe{bootID: r.bootID, startedAt: now}
	for id := range c.requests.byEndpoint[r.endpoint] {
		// Requests granted after a restart did not run when the endpoint died.
		if other := c.requests.active[id]; other.request.Fingerprint != 0 && other.bootID == r.bootID {
			p.inFlight = append(p.inFlight, other)
		}
	}
	if e, ok := c.endpoint(r.endpoint); ok && e.Kind == fleet.ModelEngine && len(p.inFlight) > 0 {
		c.requests.probes[r.endpoint] = p
		c.emit(ProbeEndpoint{Endpoint: e})
	}
}

// probeDone handles the result of a probe. A death is classified after
// deathCorrelationWindow, together with others.
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

// probeDataCentre probes the other engines of a data centre once two have died
// there, because some of the lost engines may have no requests of this instance.
func (c *core) probeDataCentre(now time.Time, id fleet.EndpointID) {
	dead, ok := c.endpoint(id)
	if !ok {
		return
	}
	died := 0
	var others []fleet.Endpoint
	for _, e := range c.listing.Endpoints {
		if e.Kind != fleet.ModelEngine || e.DataCentre != dead.DataCentre {
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
		c.requests.probes[e.ID] = &probe{bootID: c.bootID(e.ID), startedAt: now}
		c.emit(ProbeEndpoint{Endpoint: e})
	}
}

// classifyDeaths decides for the endpoints that have died whether their requests
// become suspect. A request crashes one endpoint at a time. Endpoints that die
// together and had no request content in common have lost their rack or data
// centre, so their requests do not become suspect. Trials of all requests of a
// lost data centre would keep the remaining endpoints from urgent work.
func (c *core) classifyDeaths(now time.Time) {
	var died []fleet.EndpointID
	due := false
	for _, id := range sortedKeys(c.requests.probes) {
		if p := c.requests.probes[id]; !p.diedAt.IsZero() {
			died = append(died, id)
			due = due || now.Sub(p.diedAt) >= deathCorrelationWindow
		}
	}
	if !due {
		return
	}
	commonCause := len(died) >= commonCauseDeaths && !c.shareFingerprint(died)
	for _, id := range died {
		p := c.requests.probes[id]
		if commonCause {
			c.requests.deadBootIDs[id] = p.bootID
			c.endTrials(now, p, quarantine.TrialInconclusive)
		} else {
			c.endpointLost(now, id, p)
		}
		c.endProbe(now, id, p)
	}
	if commonCause {
		c.emitChange(ChangeEndpointLost, Field{"endpoints", fmt.Sprint(len(died))}, Field{"cause", "common"})
	}
}

// shareFingerprint reports whether requests of equal content ran on two of the
// endpoints.
func (c *core) shareFingerprint(endpoints []fleet.EndpointID) bool {
	on := make(map[uint64]fleet.EndpointID)
	for _, id := range endpoints {
		for _, r := range c.requests.probes[id].inFlight {
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
	for _, r := range p.inFlight {
		if r.trial {
			c.stepQuarantine(now, quarantine.TrialEnded{Request: r.request.ID, Fingerprint: quarantine.Fingerprint(r.request.Fingerprint), Result: result})
		}
	}
}

// endProbe removes a probe and processes the requests that waited for it.
func (c *core) endProbe(now time.Time, id fleet.EndpointID, p *probe) {
	delete(c.requests.probes, id)
	for _, f := range p.endedFingerprints {
		c.stepQuarantine(now, quarantine.RunEnded{Fingerprint: f})
	}
	for _, requestID := range sortedKeys(c.requests.deferred) {
		if d := c.requests.deferred[requestID]; d.reason == deferForProbe && d.probe == id {
			delete(c.requests.deferred, requestID)
			c.checkQuarantine(now, d.request)
		}
	}
}

// endpointLost reports the death of an endpoint to quarantine, with the
// fingerprints of the requests that ran on it.
func (c *core) endpointLost(now time.Time, id fleet.EndpointID, p *probe) {
	c.requests.deadBootIDs[id] = p.bootID
	c.emitChange(ChangeEndpointLost, Field{"endpoint", string(id)}, Field{"in_flight", fmt.Sprint(len(p.inFlight))})
	loss := quarantine.Loss{Endpoint: id, BootID: p.bootID}
	var fingerprints []quarantine.Fingerprint
	var quarantineFor time.Duration
	c.endTrials(now, p, quarantine.TrialEndpointLost)
	for _, r := range p.inFlight {
		f := quarantine.Fingerprint(r.request.Fingerprint)
		if r.trial {
			continue
		}
		if !slices.Contains(fingerprints, f) {
			fingerprints = append(fingerprints, f)
		}
		quarantineFor = max(quarantineFor, c.quarantineFor(r.request.Row))
	}
	if len(fingerprints) > 0 {
		c.stepQuarantine(now, quarantine.EndpointLost{Loss: loss, Fingerprints: fingerprints, QuarantineFor: quarantineFor})
	}
}

// trialFinished reports the end of a trial, unless a pending probe decides the
// result.
func (c *core) trialFinished(now time.Time, r activeRequest, result admission.Result) {
	p, probing := c.requests.probes[r.endpoint]
	ended := quarantine.TrialEnded{Request: r.request.ID, Fingerprint: quarantine.Fingerprint(r.request.Fingerprint)}
	switch {
	case result == admission.ResultAnswered:
		ended.Result = quarantine.TrialCompleted
	case result == admission.ResultLost && probing && p.includes(r.request.ID):
		return // reported once the probe has ended
	default:
		ended.Result = quarantine.TrialInconclusive
	}
	c.stepQuarantine(now, ended)
}

// includes reports whether a request was on the endpoint when the probe started.
func (p *probe) includes(id uint64) bool {
	return slices.ContainsFunc(p.inFlight, func(r activeRequest) bool { return r.request.ID == id })
}

// stepQuarantine passes an event to the quarantine state and handles its actions.
func (c *core) stepQuarantine(now time.Time, ev quarantine.Event) {
	for _, a := range c.quarantineState.Step(now, ev) {
		switch a := a.(type) {
		case quarantine.StartTrial:
			c.startTrial(now, a)
		case quarantine.AdmitRequests:
			for _, id := range a.Requests {
				if d, ok := c.requests.deferred[id]; ok {
					delete(c.requests.deferred, id)
					c.queueRequest(now, d.request)
				}
			}
		case quarantine.RefuseRequests:
			for _, id := range a.Requests {
				delete(c.requests.deferred, id)
				c.refuse(id, admission.ReasonQuarantined, a.Until.Sub(now))
			}
		default:
			c.emit(a)
		}
	}
}

// startTrial grants a deferred request the endpoint that is reserved for its trial.
func (c *core) startTrial(now time.Time, a quarantine.StartTrial) {
	d, waits := c.requests.deferred[a.Request]
	e, listed := c.endpoint(a.Endpoint)
	if !waits || !listed {
		c.stepQuarantine(now, quarantine.TrialEnded{Request: a.Request, Fingerprint: a.Fingerprint, Result: quarantine.TrialInconclusive})
		return
	}
	delete(c.requests.deferred, a.Request)
	c.emitChange(ChangeTrialStarted, Field{"endpoint", string(e.ID)}, Field{"fingerprint", fmt.Sprintf("%016x", uint64(a.Fingerprint))})
	c.requests.active[a.Request] = activeRequest{request: d.request}
	c.grant(now, a.Request, admission.Grant{Endpoint: e, Trial: true, Version: d.request.Version})
}
