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

// rig drives a core with a clock of its own.
type rig struct {
	t       *testing.T
	core    *core
	now     time.Time
	actions []Action
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Unix(1_000_000, 0)}
	r.core = newCore(Config{
		Self:   fleet.Instance{ID: "i1", Incarnation: 1, DataCentre: "kul-a", PeerAddress: "10.0.0.1:1"},
		Shards: 4,
	}, r.now)
	r.step(ListingRead{Listing: backing.Listing{
		Instances: []backing.ListedInstance{{ID: "i1", DataCentre: "kul-a"}},
		Endpoints: []fleet.Endpoint{r.engine("e1"), r.engine("e2")},
	}})
	rows := []table.Row{{Name: "m", Kind: table.KindModel, Rank: fleet.Patient, Weight: 1, Pool: "p", MemoryMB: 10, Version: "1"}}
	r.step(TableRead{Snapshot: table.NewSnapshot(1, rows)})
	r.report("e1", "boot-1")
	r.report("e2", "boot-1")
	r.advance(time.Second)
	return r
}

func (r *rig) engine(id fleet.EndpointID) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Kind: fleet.ModelEngine, Pool: "p", DataCentre: "kul-a", Address: "10.0.0.9:1", ChecksTokens: true, MemoryMB: 100, Slots: 4}
}

// report lets an endpoint report that it holds the model.
func (r *rig) report(id fleet.EndpointID, boot string) {
	r.step(ReportRead{Endpoint: id, Sent: r.now, Report: engine.Report{
		BootID: boot, Slots: 4, Residents: []engine.Resident{{Name: "m", Version: "1", Ready: true}},
	}})
}

func (r *rig) step(ev Event) {
	r.actions = append(r.actions, r.core.step(r.now, ev)...)
}

// advance lets time pass in ticks.
func (r *rig) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tickInterval)
		r.step(Tick{})
	}
}

func (r *rig) arrive(id, fingerprint uint64, change func(*admission.Request)) <-chan answer {
	reply := make(chan answer, 1)
	request := admission.Request{ID: id, Row: "m", Rank: fleet.Patient, Weight: 1, Pool: "p", Model: "m", Version: "1", Tokens: 10, Fingerprint: fingerprint}
	if change != nil {
		change(&request)
	}
	r.step(arrive{request: request, reply: reply})
	return reply
}

func (r *rig) grant(reply <-chan answer) admission.Grant {
	r.t.Helper()
	select {
	case a := <-reply:
		if a.refusal != nil {
			r.t.Fatalf("refused: %v", a.refusal)
		}
		return a.grant
	default:
		r.t.Fatal("no answer")
	}
	return admission.Grant{}
}

// Guards against a late report of a broken connection that makes suspects of
// requests that were granted after the endpoint had restarted.
func TestOneDeathIsCountedOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	first := r.grant(r.arrive(1, 11, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e2"} }))
	late := r.grant(r.arrive(2, 12, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e2"} }))
	is.Equal(first.Endpoint.ID, late.Endpoint.ID)
	r.step(finish{outcome: admission.Outcome{ID: 1, Endpoint: "e1", Result: admission.ResultLost}})
	r.step(ProbeDone{Endpoint: "e1", OK: true, BootID: "boot-2"})
	r.report("e1", "boot-2")
	r.advance(tickInterval)
	innocent := r.grant(r.arrive(3, 13, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e2"} }))
	is.Equal(innocent.Endpoint.ID, fleet.EndpointID("e1"))
	r.step(finish{outcome: admission.Outcome{ID: 2, Endpoint: "e1", Result: admission.ResultLost}})
	r.advance(2 * deathSettleTime)
	verdict, _ := r.core.suspects.Check(quarantine.Fingerprint(13), r.now)
	is.Equal(verdict, quarantine.Clear)
	verdict, _ = r.core.suspects.Check(quarantine.Fingerprint(12), r.now)
	is.Equal(verdict, quarantine.NeedsTrial)
}

// Guards against the loss of a data centre that makes suspects of all that ran
// in it, whose trials keep the remaining endpoints from other work.
func TestEndpointsLostTogetherMakeNoSuspects(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	endpoints := []fleet.Endpoint{r.engine("e1"), r.engine("e2"), r.engine("e3")}
	r.step(ListingRead{Listing: backing.Listing{Instances: r.core.listing.Instances, Endpoints: endpoints}})
	r.report("e3", "boot-1")
	r.advance(time.Second)
	for n, e := range endpoints[:2] { // nothing runs on the third
		exclude := []fleet.EndpointID{endpoints[(n+1)%3].ID, endpoints[(n+2)%3].ID}
		r.grant(r.arrive(uint64(n+1), uint64(n+11), func(q *admission.Request) { q.Exclude = exclude }))
		r.step(finish{outcome: admission.Outcome{ID: uint64(n + 1), Endpoint: e.ID, Result: admission.ResultLost}})
		r.step(ProbeDone{Endpoint: e.ID})
	}
	is.Equal(r.actions[len(r.actions)-1], Probe{Endpoint: endpoints[2]})
	r.step(ProbeDone{Endpoint: "e3"})
	r.advance(2 * deathSettleTime)
	for f := range 2 {
		verdict, _ := r.core.suspects.Check(quarantine.Fingerprint(f+11), r.now)
		is.Equal(verdict, quarantine.Clear)
	}
	is.Equal(len(r.core.requests.probes), 0)
}

// Guards against a cut network that is taken for the death of the endpoint.
func TestCutConnectionMakesNoSuspects(t *testing.T) {
	r := newRig(t)
	r.grant(r.arrive(1, 11, nil))
	r.step(finish{outcome: admission.Outcome{ID: 1, Endpoint: "e1", Result: admission.ResultLost}})
	for _, id := range []fleet.EndpointID{"e1", "e2"} {
		r.step(ProbeDone{Endpoint: id, OK: true, BootID: "boot-1"})
	}
	r.grant(r.arrive(2, 11, func(q *admission.Request) { q.Readmitted = true }))
}

// Guards against a request that waits for ever because every endpoint that can
// serve it has failed it once.
func TestExclusionEndsWhenNothingElseServes(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	reply := r.arrive(1, 0, func(q *admission.Request) { q.Exclude = []fleet.EndpointID{"e1", "e2"}; q.Readmitted = true })
	is.Equal(len(reply), 0)
	r.advance(exclusionTime + 2*candidateInterval)
	r.grant(reply)
}

// Guards against an instance that is cut off from everything and still serves
// under a table that may be old.
func TestIsolatedInstanceRefuses(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.step(ListingRead{Listing: backing.Listing{
		Instances: []backing.ListedInstance{{ID: "i1"}, {ID: "i2", PeerAddress: "10.0.0.2:1"}},
		Endpoints: r.core.listing.Endpoints,
	}})
	r.advance(20 * time.Second)
	is.True(!r.core.snapshot.Ready)
	a := <-r.arrive(1, 0, nil)
	is.Equal(a.refusal.Reason, admission.ReasonIsolated)
	r.step(HeadRead{Revision: 1, Sent: r.now})
	r.advance(tickInterval)
	is.True(r.core.snapshot.Ready)
	r.grant(r.arrive(2, 0, nil))
}

// Guards against a replica that is emptied because its ledger was adopted
// before the plan had been read.
func TestReplicaWithoutPlanKeepsWhatItHolds(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	e := r.engine("e1")
	o := &ownedLedger{shard: r.core.shardOf("e1"), replica: ledger.NewReplica(r.core.ledgerSettings(e)), adopted: true}
	r.core.ownership.owned["e1"] = o
	record := ledger.Record{Replica: "e1", Entries: []ledger.Entry{{Name: "m", Version: "1", MemoryMB: 10, State: ledger.Ready}}}
	self := ledger.Sender{Instance: "i1", Incarnation: 1, Epoch: 1}
	r.core.ledger(r.now, "e1", ledger.Adopt{Record: record, Version: 1, Self: self, Until: r.now.Add(time.Minute)})
	r.core.want(r.now, e)
	is.True(o.replica.Servable("m"))
}

// Guards against callers that wait for ever when the goroutine ends.
func TestWaitingCallersAreRefusedAtTheEnd(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	reply := r.arrive(1, 0, func(q *admission.Request) { q.Model = "other" })
	is.Equal(len(reply), 0)
	r.core.refuseAll(admission.ReasonStopping)
	is.Equal((<-reply).refusal.Reason, admission.ReasonStopping)
}
