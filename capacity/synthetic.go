package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/routing"
	"github.com/hyssophaven/hyssophaven/table"
)

// seed is the seed of all random numbers of the measurements.
const seed = 1

const (
	pool             = "models"
	slots            = 16 // requests that a replica runs at once
	replicaMemoryMB  = 80_000
	modelMemoryMB    = 14_000
	adapterMemoryMB  = 160
	modelsOnReplica  = 4
	adaptersOnModel  = 3
	reportReaders    = 2 // instances that read the reports of one replica
	heartbeatsPerSec = 2
	ticksPerSec      = 10
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

// syntheticFleet generates the state and messages of a fleet in steady state.
type syntheticFleet struct {
	nodes, replicas, models int
	dataCentres             int
	random                  *rand.Rand
}

func newSyntheticFleet(nodes, replicas, models int) *syntheticFleet {
	return &syntheticFleet{
		nodes: nodes, replicas: replicas, models: models,
		dataCentres: max(1, (nodes+nodesPerDataCentre-1)/nodesPerDataCentre), random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// scaledFleet returns a fleet with as many replicas per node as at the design
// size.
func scaledFleet(nodes, models int) *syntheticFleet {
	return newSyntheticFleet(nodes, nodes*designReplicas/designNodes, models)
}

func dataCentre(i int) fleet.DataCentre { return fleet.DataCentre(indexedName("dc", i)) }

func (s *syntheticFleet) instance(i int) fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(indexedName("entry", i)), Incarnation: fleet.Incarnation(1_700_000_000_000_000_000 + i),
		DataCentre: dataCentre(i % s.dataCentres), PeerAddress: indexedName("10.0.0.1:1", i), CallerAddress: indexedName("10.0.0.1:2", i), OperatorAddress: indexedName("10.0.0.1:3", i),
	}
}

func (s *syntheticFleet) instances() []fleet.Instance {
	out := make([]fleet.Instance, s.nodes)
	for i := range out {
		out[i] = s.instance(i)
	}
	return out
}

func replicaID(i int) fleet.EndpointID { return fleet.EndpointID(indexedName(pool, i)) }

func modelName(i int) string { return indexedName("model", i) }

func adapterName(model, i int) string { return indexedName(indexedName("adapter", model), i) }

func (s *syntheticFleet) endpoints() []fleet.Endpoint {
	out := make([]fleet.Endpoint, s.replicas)
	for i := range out {
		out[i] = fleet.Endpoint{
			ID: replicaID(i), Kind: fleet.ModelEngine, Pool: pool, DataCentre: dataCentre(i % s.dataCentres), Address: indexedName("10.1.0.1:1", i),
			ChecksTokens: true, MemoryMB: replicaMemoryMB, Slots: slots,
		}
	}
	return out
}

func (s *syntheticFleet) listing() backing.Listing {
	l := backing.Listing{Endpoints: s.endpoints()}
	for _, i := range s.instances() {
		l.Instances = append(l.Instances, backing.ListedInstance{ID: i.ID, DataCentre: i.DataCentre, PeerAddress: i.PeerAddress})
	}
	return l
}

// rows returns the table rows of the models and their adapters.
func (s *syntheticFleet) rows() []table.Row {
	var out []table.Row
	for m := range s.models {
		row := table.Row{Name: modelName(m), Kind: table.KindModel, Rank: fleet.Rank(m % 3), Weight: 1, Pool: pool, Version: "v1", MemoryMB: modelMemoryMB}
		out = append(out, row)
		for a := range adaptersOnModel {
			row.Name, row.Kind, row.Base, row.MemoryMB = adapterName(m, a), table.KindAdapter, modelName(m), adapterMemoryMB
			out = append(out, row)
		}
	}
	return out
}

// ledgerEntries returns the ledger entries of a replica: modelsOnReplica models,
// each with one of its adapters.
func (s *syntheticFleet) ledgerEntries(replica int) []ledger.Entry {
	var out []ledger.Entry
	for k := range modelsOnReplica {
		m := (replica*modelsOnReplica + k) % s.models
		out = append(out,
			ledger.Entry{Name: modelName(m), Version: "v1", MemoryMB: modelMemoryMB, State: ledger.Ready, LoadToken: fleet.Token{Epoch: 1, Sequence: 1}},
			ledger.Entry{Name: adapterName(m, replica%adaptersOnModel), Base: modelName(m), Version: "v1", MemoryMB: adapterMemoryMB, State: ledger.Ready, LoadToken: fleet.Token{Epoch: 1, Sequence: 2}})
	}
	return out
}

func (s *syntheticFleet) ledgerRecord(replica int) ledger.Record {
	return ledger.Record{
		Replica: replicaID(replica), Holder: ledger.Sender{Instance: s.instance(replica % s.nodes).ID, Incarnation: 1, Epoch: 1}, Write: 1,
		HighestToken: fleet.Token{Epoch: 1, Sequence: 9}, BootID: "boot-1", Entries: s.ledgerEntries(replica),
	}
}

func (s *syntheticFleet) ledgerRecords() []ledger.Record {
	out := make([]ledger.Record, s.replicas)
	for i := range out {
		out[i] = s.ledgerRecord(i)
	}
	return out
}

// residents returns the models and adapters that requests can be routed to on a
// replica.
func (s *syntheticFleet) residents(replica int) []routing.Resident {
	var out []routing.Resident
	for _, e := range s.ledgerEntries(replica) {
		out = append(out, routing.Resident{Name: e.Name, Version: e.Version, Ready: true, MemoryMB: e.MemoryMB})
	}
	return out
}

// report returns a load report of a replica with a random load.
func (s *syntheticFleet) report(replica int) membership.EndpointReport {
	r := membership.EndpointReport{
		Endpoint: replicaID(replica), BootID: "boot-1", Age: time.Duration(s.random.IntN(500)) * time.Millisecond,
		Running: s.random.IntN(slots), Slots: slots,
	}
	for _, e := range s.ledgerEntries(replica) {
		r.Residents = append(r.Residents, membership.Resident{Name: e.Name, Version: e.Version, Ready: true})
	}
	return r
}

// demand returns the random demand of one instance for the given number of models.
func (s *syntheticFleet) demand(rows int) []membership.RowDemand {
	out := make([]membership.RowDemand, rows)
	for m := range out {
		rate := s.random.Float64() * 2 * designRequestRate / designNodes / float64(max(1, rows))
		out[m] = membership.RowDemand{Row: modelName(m), ArrivalRate: rate, InFlight: int(rate * 8), Slots: rate * 8}
	}
	return out
}

// reports returns the load reports that one node reads.
func (s *syntheticFleet) reports(count int, node int) []membership.EndpointReport {
	out := make([]membership.EndpointReport, 0, count)
	for i := range count {
		out = append(out, s.report((node%s.dataCentres+(node+i)*s.dataCentres)%s.replicas))
	}
	return out
}

// reportsPerNode returns the number of load reports that one node reads.
func (s *syntheticFleet) reportsPerNode() int { return max(1, s.replicas*reportReaders/s.nodes) }

func (s *syntheticFleet) heartbeat(node int, sequence uint64) membership.Heartbeat {
	return membership.Heartbeat{
		Member: s.instance(node), Sequence: sequence, TableRevision: 1, TableAge: time.Second,
		Demand: s.demand(s.models), Reports: s.reports(s.reportsPerNode(), node),
	}
}

// summary returns the summary of a data centre whose relay is its first node.
func (s *syntheticFleet) summary(dc int, sequence uint64) membership.Summary {
	sum := membership.Summary{DataCentre: dataCentre(dc), Sequence: sequence, TableRevision: 1, Demand: s.demand(s.models)}
	for i := dc; i < s.nodes; i += s.dataCentres {
		sum.Members = append(sum.Members, membership.MemberSummary{Member: s.instance(i)})
	}
	sum.Relay, sum.RelayIncarnation = sum.Members[0].Member.ID, sum.Members[0].Member.Incarnation
	for i := dc; i < s.replicas; i += s.dataCentres {
		sum.Reports = append(sum.Reports, s.report(i))
	}
	return sum
}

// remoteSummaries returns the summaries of all data centres except the first.
func (s *syntheticFleet) remoteSummaries(sequence uint64) []membership.Summary {
	var out []membership.Summary
	for dc := 1; dc < s.dataCentres; dc++ {
		out = append(out, s.summary(dc, sequence))
	}
	return out
}

// dataCentrePeers returns the other nodes of the first data centre.
func (s *syntheticFleet) dataCentrePeers(self int) []int {
	var out []int
	for i := 0; i < s.nodes; i += s.dataCentres {
		if i != self {
			out = append(out, i)
		}
	}
	return out
}

// memberDemands returns the demand of each member for the rows of one replica.
func (s *syntheticFleet) memberDemands(members, rows int) []admission.MemberDemand {
	out := make([]admission.MemberDemand, members)
	for i := range out {
		out[i].Member = fleet.InstanceID(indexedName("entry", i))
		for r := range rows {
			out[i].Rows = append(out[i].Rows, admission.Demand{Row: modelName(r), Rank: fleet.Rank(r % 3), Weight: 1, Slots: s.random.Float64() / float64(members), Rate: 0.1})
		}
	}
	return out
}
