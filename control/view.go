package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/routing"
	"github.com/hyssophaven/hyssophaven/table"
)

// Floors that apply where the table has no row for a rank.
var defaultFloors = [fleet.RankCount]float64{fleet.Urgent: 0.5, fleet.Prompt: 0.1, fleet.Patient: 0.05}

// report is the newest known load report of an endpoint.
type report struct {
	takenAt   time.Time // by this process's clock; the read is counted from its start
	bootID    string
	running   int
	waiting   int
	slots     int
	leaving   bool
	residents []membership.Resident
}

func (c *core) reportRead(now time.Time, ev ReportRead) {
	r := ev.Report
	c.takeReport(ev.Endpoint, report{
		takenAt: ev.Sent, bootID: r.BootID, running: r.Running, waiting: r.Waiting,
		slots: r.Slots, leaving: r.Leaving, residents: residentsOf(r.Residents),
	})
	if r.Running == 0 && r.Waiting == 0 && c.suspects.Reserved(ev.Endpoint) {
		c.endpointIdle(now, ev.Endpoint)
	}
}

func residentsOf(in []engine.Resident) []membership.Resident {
	out := make([]membership.Resident, len(in))
	for i, r := range in {
		out[i] = membership.Resident{Name: r.Name, Version: r.Version, Ready: r.Ready}
	}
	return out
}

// takeReport keeps the newest report of an endpoint.
func (c *core) takeReport(id fleet.EndpointID, r report) {
	old, ok := c.reports[id]
	if ok && !r.takenAt.After(old.takenAt) {
		return
	}
	c.reports[id] = r
	c.viewStale = true
	if r.leaving != old.leaving {
		c.changed(ChangeEndpointLeaving, Field{"endpoint", string(id)})
	}
}

// takePeerReports takes over the reports that peers have read.
func (c *core) takePeerReports(now time.Time) {
	for _, r := range c.members.Reports(now) {
		c.takeReport(r.Endpoint, report{
			takenAt: now.Add(-r.Age), bootID: r.BootID, running: r.Running, waiting: r.Waiting,
			slots: r.Slots, leaving: r.Leaving, residents: r.Residents,
		})
	}
}

func (c *core) bootID(id fleet.EndpointID) string { return c.reports[id].bootID }

// leaving reports whether an endpoint must get no new work, by the platform's
// list or by its own report.
func (c *core) leaving(e fleet.Endpoint) bool { return e.Leaving || c.reports[e.ID].leaving }

// rebuildView gives the admission queue its view of the fleet.
func (c *core) rebuildView(now time.Time) {
	c.takePeerReports(now)
	c.viewStale, c.viewBuilt = false, now // the reports taken just now are in this view
	c.demands = c.memberDemands(now)
	c.inFlight = c.memberInFlight(now)
	c.demandOf = byRow(c.demands)
	c.served = c.routes(now)
	view := &admission.View{Endpoints: c.endpointViews(), Rows: c.limitShares()}
	c.admit(now, admission.ViewChanged{View: view})
}

// manyEndpoints is the number of endpoints from which on views are made no
// more often than viewInterval. A view of 5,400 endpoints takes longer than a
// tick, and its inputs arrive once in a heartbeat period.
const (
	manyEndpoints = 1000
	viewInterval  = 500 * time.Millisecond
)

// viewDue reports whether the view has to be made again now.
func (c *core) viewDue(now time.Time) bool {
	return c.viewStale && (len(c.listing.Endpoints) < manyEndpoints || now.Sub(c.viewBuilt) >= viewInterval)
}

func (c *core) endpointViews() []admission.EndpointView {
	floors := c.floors()
	scratch := make([]admission.MemberDemand, len(c.demands))
	out := make([]admission.EndpointView, 0, len(c.listing.Endpoints))
	for _, e := range c.listing.Endpoints {
		r := c.reports[e.ID]
		slots := e.Slots
		if r.slots > 0 {
			slots = r.slots
		}
		out = append(out, admission.EndpointView{
			Endpoint: e, Closed: c.leaving(e) || c.suspects.Reserved(e.ID),
			Window: admission.EndpointWindow(c.config.Self.ID, c.endpointDemands(e.ID, scratch), admission.SharedEndpoint{
				Key: string(e.ID), Slots: slots, Floors: floors,
			}),
			Residents: c.served.residents[e.ID], Running: r.running, Waiting: r.waiting, ReportedAt: r.takenAt,
		})
	}
	return out
}

// residents returns what may be routed to an endpoint. An instance that started
// while the store is down knows no ledger and goes by the load reports; the
// engine refuses what it no longer holds.
func (c *core) residents(now time.Time, e fleet.Endpoint) []routing.Resident {
	if !c.ownership.read {
		return c.reportedResidents(e.ID)
	}
	view := c.ledgerView(e.ID)
	var out []routing.Resident
	for _, entry := range view.Entries {
		if !entry.Servable && !entry.Loadable {
			continue
		}
		out = append(out, routing.Resident{
			Name: entry.Name, Version: entry.Version, MemoryMB: entry.MemoryMB, Token: view.Token,
			Ready: c.ready(now, e.ID, entry),
		})
	}
	return out
}

// freshReport is the age up to which a load report overrules the ledger. An
// engine that has restarted empty reports so seconds before its owner has read
// its state.
const freshReport = 3 * time.Second

// ready reports whether an entry can take requests now, by the endpoint's
// report if it is fresh and by the ledger otherwise.
func (c *core) ready(now time.Time, id fleet.EndpointID, entry ledger.ViewEntry) bool {
	if r, ok := c.reports[id]; ok && now.Sub(r.takenAt) < freshReport {
		return c.reportedReady(id, entry.Name, entry.Version)
	}
	return entry.Servable
}

// reportedResidents returns what an endpoint has reported as ready. It may not
// be loaded on demand, because no reservation is known.
func (c *core) reportedResidents(id fleet.EndpointID) []routing.Resident {
	var out []routing.Resident
	for _, r := range c.reports[id].residents {
		if r.Ready {
			out = append(out, routing.Resident{Name: r.Name, Version: r.Version, Ready: true})
		}
	}
	return out
}

func (c *core) ledgerView(id fleet.EndpointID) ledger.View {
	if o := c.ownership.owned[id]; o != nil && o.adopted {
		return o.replica.View()
	}
	return ledger.ViewOf(c.ownership.stored[id])
}

func (c *core) reportedReady(id fleet.EndpointID, name, version string) bool {
	return slices.ContainsFunc(c.reports[id].residents, func(r membership.Resident) bool {
		return r.Ready && r.Name == name && r.Version == version
	})
}

// memberDemands returns the demand of every live instance, this one included.
func (c *core) memberDemands(now time.Time) []admission.MemberDemand {
	t := c.table.Current()
	out := []admission.MemberDemand{{Member: c.config.Self.ID, Rows: demandsOf(t, c.ownDemand(now))}}
	for _, m := range c.members.Members() {
		if m.Heartbeat != nil && (m.Status == membership.Alive || m.Status == membership.Suspect) {
			out = append(out, admission.MemberDemand{Member: m.Instance.ID, Rows: demandsOf(t, m.Heartbeat.Demand)})
		}
	}
	// Sorted once here and not again by the shares of each endpoint.
	slices.SortFunc(out, func(a, b admission.MemberDemand) int { return cmp.Compare(a.Member, b.Member) })
	return out
}

func demandsOf(t *table.Snapshot, rows []membership.RowDemand) []admission.Demand {
	if t == nil {
		return nil
	}
	out := make([]admission.Demand, 0, len(rows))
	for _, d := range rows {
		if row, ok := t.Row(d.Row); ok {
			out = append(out, admission.Demand{Row: d.Row, Rank: row.Rank, Weight: row.Weight, Slots: d.Slots, Rate: d.ArrivalRate})
		}
	}
	return out
}

// routes tells which table rows each endpoint serves.
type routes struct {
	residents map[fleet.EndpointID][]routing.Resident
	rows      map[fleet.EndpointID][]string
	replicas  map[string]int // row to number of endpoints that serve it
	routable  map[string]bool
}

func (c *core) routes(now time.Time) routes {
	out := routes{
		routable:  make(map[string]bool),
		residents: make(map[fleet.EndpointID][]routing.Resident, len(c.listing.Endpoints)),
		rows:      make(map[fleet.EndpointID][]string, len(c.listing.Endpoints)),
		replicas:  make(map[string]int),
	}
	byTarget := rowsByTarget(c.table.Current())
	for _, e := range c.listing.Endpoints {
		residents := c.residents(now, e)
		out.residents[e.ID] = residents
		rows := slices.Clone(byTarget[servedBy{pool: e.Pool}])
		for _, r := range residents {
			rows = append(rows, byTarget[servedBy{name: r.Name}]...)
		}
		out.rows[e.ID] = rows
		for _, row := range rows {
			out.replicas[row]++
			out.routable[row] = true
		}
	}
	return out
}

// servedBy is what serves a row: a model or adapter, or a pool of plain services.
type servedBy struct{ name, pool string }

func rowsByTarget(t *table.Snapshot) map[servedBy][]string {
	out := make(map[servedBy][]string)
	if t == nil {
		return out
	}
	for _, row := range t.Rows() {
		if row.Kind == table.KindService {
			out[servedBy{pool: row.Pool}] = append(out[servedBy{pool: row.Pool}], row.Name)
			continue
		}
		serving, ok := t.Resolve(row.Name)
		if !ok {
			continue
		}
		target := servedBy{name: serving.Model.Name}
		if serving.Adapter != nil {
			target.name = serving.Adapter.Name
		}
		out[target] = append(out[target], row.Name)
	}
	return out
}

// memberDemand is the demand of one member for one row.
type memberDemand struct {
	member int // index in core.demands
	demand admission.Demand
}

func byRow(members []admission.MemberDemand) map[string][]memberDemand {
	out := make(map[string][]memberDemand)
	for i, m := range members {
		for _, d := range m.Rows {
			out[d.Row] = append(out[d.Row], memberDemand{i, d})
		}
	}
	return out
}

// endpointDemands returns the members' demand for what an endpoint serves, in
// the given space. The demand of a row is spread evenly over the endpoints
// that serve it.
func (c *core) endpointDemands(e fleet.EndpointID, out []admission.MemberDemand) []admission.MemberDemand {
	for i, m := range c.demands {
		out[i] = admission.MemberDemand{Member: m.Member, Rows: out[i].Rows[:0], InFlight: c.inFlight[e][m.Member]}
	}
	rows := c.served.rows[e]
	for i, row := range rows {
		if slices.Contains(rows[:i], row) {
			continue // two versions of it are resident
		}
		for _, m := range c.demandOf[row] {
			d := m.demand
			d.Slots /= float64(c.served.replicas[row])
			out[m.member].Rows = append(out[m.member].Rows, d)
		}
	}
	return out
}

// memberInFlight returns what every live instance has in flight on each endpoint.
func (c *core) memberInFlight(now time.Time) map[fleet.EndpointID]map[fleet.InstanceID][fleet.RankCount]int {
	out := make(map[fleet.EndpointID]map[fleet.InstanceID][fleet.RankCount]int)
	add := func(id fleet.InstanceID, counts []membership.EndpointInFlight) {
		for _, n := range counts {
			if out[n.Endpoint] == nil {
				out[n.Endpoint] = make(map[fleet.InstanceID][fleet.RankCount]int)
			}
			out[n.Endpoint][id] = n.InFlight
		}
	}
	add(c.config.Self.ID, c.ownInFlight(now))
	for _, m := range c.members.Members() {
		if m.Heartbeat != nil && (m.Status == membership.Alive || m.Status == membership.Suspect) {
			add(m.Instance.ID, m.Heartbeat.InFlight)
		}
	}
	return out
}

func (c *core) floors() [fleet.RankCount]float64 {
	floors := defaultFloors
	if t := c.table.Current(); t != nil {
		for _, r := range fleet.Ranks() {
			if row, ok := t.Row(r.String()); ok && row.Kind == table.KindRank {
				floors[r] = row.Floor
			}
		}
	}
	return floors
}

// limitShares returns this instance's share of every limited row.
func (c *core) limitShares() map[string]admission.RowShare {
	t := c.table.Current()
	if t == nil {
		return nil
	}
	out := make(map[string]admission.RowShare)
	for _, row := range t.Rows() {
		if row.Limits != (table.Limits{}) {
			out[row.Name] = admission.LimitShare(c.config.Self.ID, c.demands, row.Name, row.Limits)
		}
	}
	return out
}

// publish makes a new snapshot for traffic goroutines.
func (c *core) publish(now time.Time) {
	s := &Snapshot{
		Self: c.config.Self, Table: c.table.Current(), Endpoints: c.listing.Endpoints,
		Routable: c.served.routable, Isolated: c.members.Isolated(now), AliveIncarnations: c.members.AliveIncarnations(),
	}
	s.ReadReports = c.endpointsToRead()
	for _, m := range c.members.Members() {
		if m.Instance.PeerAddress != "" {
			s.PeerAddresses = append(s.PeerAddresses, m.Instance.PeerAddress)
		}
	}
	s.NotReadyReason = c.notReadyReason(s)
	s.Ready = s.NotReadyReason == ""
	c.snapshot = s
}

// reading is which listed endpoints' reports this instance reads.
type reading struct {
	listed  []fleet.Endpoint
	version uint64 // of the readers
	own     []fleet.Endpoint
}

// ownEndpoints returns the endpoints whose load reports this instance is
// chosen to read. The choice is kept until the list or the members change,
// because it costs a hash per endpoint and member.
func (c *core) ownEndpoints() []fleet.Endpoint {
	listed, version := c.listing.Endpoints, c.members.ReadersVersion()
	r := &c.reading
	if r.version == version && len(r.listed) == len(listed) && (len(listed) == 0 || &r.listed[0] == &listed[0]) {
		return r.own
	}
	*r = reading{listed: listed, version: version}
	for _, e := range listed {
		if c.members.ReadsReport(e.ID, e.DataCentre) {
			r.own = append(r.own, e)
		}
	}
	return r.own
}

// endpointsToRead adds the endpoints that are reserved for a trial, since it
// starts when their reports show them idle.
func (c *core) endpointsToRead() []fleet.Endpoint {
	out := c.ownEndpoints()
	for _, e := range c.listing.Endpoints {
		if c.suspects.Reserved(e.ID) && !slices.Contains(out, e) {
			out = append(slices.Clip(out), e)
		}
	}
	return out
}

func (c *core) notReadyReason(s *Snapshot) string {
	switch {
	case c.stopping:
		return "stopping"
	case s.Table == nil:
		return "no table yet"
	case !c.listed:
		return "platform's list not read yet"
	case s.Isolated:
		return "cut off from the store and from all peers"
	default:
		return ""
	}
}
