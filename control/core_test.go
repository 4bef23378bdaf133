package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/quarantine"
	"github.com/hyssophaven/hyssophaven/table"
)

// harness drives a core with a simulated clock and collects its actions.
type harness struct {
	t       *testing.T
	core    *core
	now     time.Time
	actions []Action
}

// newHarness returns a harness whose table has one model, ready on two engines.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Unix(1_000_000, 0)}
	h.core = newCore(Config{
		Self:   fleet.Instance{ID: "i1", Incarnation: 1, DataCentre: "kul-a", PeerAddress: "10.0.0.1:1"},
		Shards: 4,
	}, h.now)
	h.step(ListingRead{Listing: backing.Listing{
		Instances: []backing.ListedInstance{{ID: "i1", DataCentre: "kul-a"}},
		Endpoints: []fleet.Endpoint{h.engine("e1"), h.engine("e2")},
	}})
	rows := []table.Row{{Name: "m", Kind: table.KindModel, Rank: fleet.Patient, Weight: 1, Pool: "p", MemoryMB: 10, Version: "1"}}
	h.step(TableRead{Snapshot: table.NewSnapshot(1, rows)})
	h.report("e1", "boot-1")
	h.report("e2", "boot-1")
	h.advance(time.Second)
	return h
}

func (h *harness) engine(id fleet.EndpointID) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Kind: fleet.ModelEngine, Pool: "p", DataCentre: "kul-a", Address: "10.0.0.9:1", ChecksTokens: true, MemoryMB: 100, Slots: 4}
}

// report delivers a load report in which the model is ready on the endpoint.
func (h *harness) report(id fleet.EndpointID, boot string) {
	h.step(ReportRead{Endpoint: id, Sent: h.now, Report: engine.Report{
		BootID: boot, Slots: 4, Residents: []engine.Resident{{Name: "m", Version: "1", Ready: true}},
	}})
}

func (h *harness) step(ev Event) {
	h.actions = append(h.actions, h.core.step(h.now, ev)...)
}

// advance moves the clock forward by d and sends a Tick every tickInterval.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(tickInterval)
		h.step(Tick{})
	}
}

// arrive submits a request, modified by change unless that is nil, and returns the
// reply channel.
func (h *harness) arrive(id, fingerprint uint64, change func(*admission.Request)) <-chan answer {
	reply := make(chan answer, 1)
	request := admission.Request{ID: id, Row: "m", Rank: fleet.Patient, Weight: 1, Pool: "p", Model: "m", Version: "1", Tokens: 10, Fingerprint: fingerprint}
	if change != nil {
		change(&request)
	}
	h.step(arrive{request: request, reply: reply})
	return reply
}

// grant returns the grant that was sent to reply, and fails the test if there is
// none.
func (h *harness) grant(reply <-chan answer) admission.Grant {
	h.t.Helper()
	select {
	case a := <-reply:
		if a.refusal != nil {
			h.t.Fatalf("refused: %v", a.refusal)
		}
		return a.grant
	default:
		h.t.Fatal("no answer")
	}
	return admission.Grant{}
}

// A connection loss that is reported after the endpoint has restarted must not make
// requests granted since the restart suspect.
func TestOneDeathIsCountedOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first := h.grant(h.arrive(1, 11, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e2"} }))
	late := h.grant(h.arrive(2, 12, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e2"} }))
	is.Equal(first.Endpoint.ID, late.Endpoint.ID)
	h.step(finish{outcome: admission.Outcome{ID: 1, Endpoint: "e1", Result: admission.ResultLost}})
	h.step(ProbeDone{Endpoint: "e1", OK: true, BootID: "boot-2"})
	h.report("e1", "boot-2")
	h.advance(tickInterval)
	afterRestart := h.grant(h.arrive(3, 13, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e2"} }))
	is.Equal(afterRestart.Endpoint.ID, fleet.EndpointID("e1"))
	h.step(finish{outcome: admission.Outcome{ID: 2, Endpoint: "e1", Result: admission.ResultLost}})
	h.advance(2 * deathCorrelationWindow)
	verdict, _ := h.core.quarantineState.Check(quarantine.Fingerprint(13), h.now)
	is.Equal(verdict, quarantine.Clear)
	verdict, _ = h.core.quarantineState.Check(quarantine.Fingerprint(12), h.now)
	is.Equal(verdict, quarantine.NeedsTrial)
}

// The loss of a data centre must not make all of its requests suspect: their trials
// would keep the remaining endpoints from other work.
func TestEndpointsLostTogetherMakeNoSuspects(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	endpoints := []fleet.Endpoint{h.engine("e1"), h.engine("e2"), h.engine("e3")}
	h.step(ListingRead{Listing: backing.Listing{Instances: h.core.listing.Instances, Endpoints: endpoints}})
	h.report("e3", "boot-1")
	h.advance(time.Second)
	for n, e := range endpoints[:2] { // the third endpoint has no requests
		exclude := []fleet.EndpointID{endpoints[(n+1)%3].ID, endpoints[(n+2)%3].ID}
		h.grant(h.arrive(uint64(n+1), uint64(n+11), func(q *admission.Request) { q.Exclude = exclude }))
		h.step(finish{outcome: admission.Outcome{ID: uint64(n + 1), Endpoint: e.ID, Result: admission.ResultLost}})
		h.step(ProbeDone{Endpoint: e.ID})
	}
	is.Equal(h.actions[len(h.actions)-1], ProbeEndpoint{Endpoint: endpoints[2]})
	h.step(ProbeDone{Endpoint: "e3"})
	h.advance(2 * deathCorrelationWindow)
	for f := range 2 {
		verdict, _ := h.core.quarantineState.Check(quarantine.Fingerprint(f+11), h.now)
		is.Equal(verdict, quarantine.Clear)
	}
	is.Equal(len(h.core.requests.probes), 0)
}

// A broken connection to an endpoint that has not restarted must not count as its
// death.
func TestCutConnectionMakesNoSuspects(t *testing.T) {
	h := newHarness(t)
	h.grant(h.arrive(1, 11, nil))
	h.step(finish{outcome: admission.Outcome{ID: 1, Endpoint: "e1", Result: admission.ResultLost}})
	for _, id := range []fleet.EndpointID{"e1", "e2"} {
		h.step(ProbeDone{Endpoint: id, OK: true, BootID: "boot-1"})
	}
	h.grant(h.arrive(2, 11, func(q *admission.Request) { q.Readmitted = true }))
}

// A request that has failed once on every endpoint that serves it must not wait
// forever.
func TestExclusionEndsWhenNothingElseServes(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	reply := h.arrive(1, 0, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e1", "e2"}; q.Readmitted = true })
	is.Equal(len(reply), 0)
	h.advance(exclusionTimeout + 2*candidateInterval)
	h.grant(reply)
}

// An instance that reaches neither the store nor any peer must refuse requests,
// because its table may be outdated.
func TestIsolatedInstanceRefuses(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.step(ListingRead{Listing: backing.Listing{
		Instances: []backing.ListedInstance{{ID: "i1"}, {ID: "i2", PeerAddress: "10.0.0.2:1"}},
		Endpoints: h.core.listing.Endpoints,
	}})
	h.advance(20 * time.Second)
	is.True(!h.core.snapshot.Ready)
	a := <-h.arrive(1, 0, nil)
	is.Equal(a.refusal.Reason, admission.ReasonIsolated)
	h.step(TableHeadRead{Revision: 1, Sent: h.now})
	h.advance(tickInterval)
	is.True(h.core.snapshot.Ready)
	h.grant(h.arrive(2, 0, nil))
}

// A ledger that is adopted before the plan has been read must not unload the models
// of its replica.
func TestReplicaWithoutPlanKeepsWhatItHolds(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	e := h.engine("e1")
	o := &ownedLedger{shard: h.core.shardOf("e1"), replica: ledger.NewReplica(h.core.ledgerSettings(e)), adopted: true}
	h.core.ownership.owned["e1"] = o
	record := ledger.Record{Replica: "e1", Entries: []ledger.Entry{{Name: "m", Version: "1", MemoryMB: 10, State: ledger.Ready}}}
	self := ledger.Sender{Instance: "i1", Incarnation: 1, Epoch: 1}
	h.core.stepLedger(h.now, "e1", ledger.LeaseAcquired{Record: record, Version: 1, Self: self, Until: h.now.Add(time.Minute)})
	h.core.applyTarget(h.now, e)
	is.True(o.replica.Servable("m"))
}

// Admit calls that are pending when the control goroutine ends must not block
// forever.
func TestWaitingCallersAreRefusedAtTheEnd(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	reply := h.arrive(1, 0, func(q *admission.Request) { q.Model = "other" })
	is.Equal(len(reply), 0)
	h.core.refuseAll(admission.ReasonStopping)
	is.Equal((<-reply).refusal.Reason, admission.ReasonStopping)
}
