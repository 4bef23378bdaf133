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

// defaultFloors are the shares of slot time guaranteed to ranks that have no row in
// the table.
var defaultFloors = [fleet.RankCount]float64{fleet.Urgent: 0.5, fleet.Prompt: 0.1, fleet.Patient: 0.05}

// report is the newest known load report of an endpoint.
type report struct {
	takenAt   time.Time // by this process's clock; the start of the read
	bootID    string
	running   int
	waiting   int
	slots     int
	leaving   bool
	residents []membership.Resident
}

func (c *core) reportRead(now time.Time, ev ReportRead) {
	r := ev.Report
	c.storeReport(ev.Endpoint, report{
		takenAt: ev.Sent, bootID: r.BootID, running: r.Running, waiting: r.Waiting,
		slots: r.Slots, leaving: r.Leaving, residents: residentsOf(r.Residents),
	})
	if r.Running == 0 && r.Waiting == 0 && c.quarantineState.Reserved(ev.Endpoint) {
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

// storeReport stores a load report unless a newer one of the endpoint is known.
func (c *core) storeReport(id fleet.EndpointID, r report) {
	old, ok := c.reports[id]
	if ok && !r.takenAt.After(old.takenAt) {
		return
	}
	c.reports[id] = r
	c.viewStale = true
	if r.leaving != old.leaving {
		c.emitChange(ChangeEndpointLeaving, Field{"endpoint", string(id)})
	}
}

// storePeerReports stores the load reports that peers have read.
func (c *core) storePeerReports(now time.Time) {
	for _, r := range c.members.Reports(now) {
		c.storeReport(r.Endpoint, report{
			takenAt: now.Add(-r.Age), bootID: r.BootID, running: r.Running, waiting: r.Waiting,
			slots: r.Slots, leaving: r.Leaving, residents: r.Residents,
		})
	}
}

func (c *core) bootID(id fleet.EndpointID) string { return c.reports[id].bootID }

// leaving reports whether an endpoint must get no new work, according to the
// platform's list or its own load report.
func (c *core) leaving(e fleet.Endpoint) bool { return e.Leaving || c.reports[e.ID].leaving }

// rebuildView builds a view of the fleet and passes it to the admission queue.
func (c *core) rebuildView(now time.Time) {
	c.storePeerReports(now)
	c.viewStale, c.viewBuiltAt = false, now // reports stored by storePeerReports are part of this view
	c.demands = c.memberDemands(now)
	c.inFlight = c.memberInFlight(now)
	c.demandByRow = groupByRow(c.demands)
	c.routes = c.buildRoutes(now)
	view := &admission.View{Endpoints: c.endpointViews(), Rows: c.limitShares()}
	c.stepQueue(now, admission.ViewChanged{View: view})
}

// With viewThrottleEndpoints endpoints or more, views are built at most once in
// minViewInterval. A view of 5,400 endpoints takes longer than a tick to build,
// and its inputs arrive once per heartbeat period.
const (
	viewThrottleEndpoints = 1000
	minViewInterval       = 500 * time.Millisecond
)

// viewDue reports whether the view has to be rebuilt now.
func (c *core) viewDue(now time.Time) bool {
	return c.viewStale && (len(c.listing.Endpoints) < viewThrottleEndpoints || now.Sub(c.viewBuiltAt) >= minViewInterval)
}

// endpointViews returns the admission queue's view of every listed endpoint.
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
			Endpoint: e, Closed: c.leaving(e) || c.quarantineState.Reserved(e.ID),
			Window: admission.EndpointWindow(c.config.Self.ID, c.endpointDemands(e.ID, scratch), admission.SharedEndpoint{
				Key: string(e.ID), Slots: slots, Floors: floors,
			}),
			Residents: c.routes.residents[e.ID], Running: r.running, Waiting: r.waiting, ReportedAt: r.takenAt,
		})
	}
	return out
}

// routableResidents returns the models and adapters for which requests may be
// routed to an endpoint. An instance that started while the store was down has read
// no ledger and uses the load reports; the engine refuses requests for models that
// it no longer holds.
func (c *core) routableResidents(now time.Time, e fleet.Endpoint) []routing.Resident {
	if !c.ownership.hasRecords {
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

// maxReportAge is the age up to which a load report overrides the ledger. The
// report of an engine that has restarted empty arrives seconds before the owner of
// its ledger has read the engine's state.
const maxReportAge = 3 * time.Second

// ready reports whether an entry can take requests now, according to the
// endpoint's load report if it is recent and to the ledger otherwise.
func (c *core) ready(now time.Time, id fleet.EndpointID, entry ledger.ViewEntry) bool {
	if r, ok := c.reports[id]; ok && now.Sub(r.takenAt) < maxReportAge {
		return c.reportedReady(id, entry.Name, entry.Version)
	}
	return entry.Servable
}

// reportedResidents returns the models and adapters that an endpoint has reported
// as ready. Others cannot be loaded on demand, because their reservations are not
// known.
func (c *core) reportedResidents(id fleet.EndpointID) []routing.Resident {
	var out []routing.Resident
	for _, r := range c.reports[id].residents {
		if r.Ready {
			out = append(out, routing.Resident{Name: r.Name, Version: r.Version, Ready: true})
		}
	}
	return out
}

// ledgerView returns the view of an endpoint's ledger, from the owned ledger or
// else from the newest known record.
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
	// Sorting here avoids a sort in the share computation of each endpoint.
	slices.SortFunc(out, func(a, b admission.MemberDemand) int { return cmp.Compare(a.Member, b.Member) })
	return out
}

// demandsOf converts demands to those of package admission, with the rank and
// weight of each row. It omits rows that are not in the table.
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

// routes holds the residents of each endpoint and the table rows that it serves.
type routes struct {
	residents map[fleet.EndpointID][]routing.Resident
	rows      map[fleet.EndpointID][]string
	replicas  map[string]int  // number of endpoints that serve each row
	routable  map[string]bool // rows that at least one endpoint serves
}

func (c *core) buildRoutes(now time.Time) routes {
	out := routes{
		routable:  make(map[string]bool),
		residents: make(map[fleet.EndpointID][]routing.Resident, len(c.listing.Endpoints)),
		rows:      make(map[fleet.EndpointID][]string, len(c.listing.Endpoints)),
		replicas:  make(map[string]int),
	}
	byTarget := rowsByTarget(c.table.Current())
	for _, e := range c.listing.Endpoints {
		residents := c.routableResidents(now, e)
		out.residents[e.ID] = residents
		rows := slices.Clone(byTarget[rowTarget{pool: e.Pool}])
		for _, r := range residents {
			rows = append(rows, byTarget[rowTarget{name: r.Name}]...)
		}
		out.rows[e.ID] = rows
		for _, row := range rows {
			out.replicas[row]++
			out.routable[row] = true
		}
	}
	return out
}

// rowTarget identifies what serves a row: a model or adapter by name, or a pool of
// plain services.
type rowTarget struct{ name, pool string }

// rowsByTarget returns the names of the table's rows by their target.
func rowsByTarget(t *table.Snapshot) map[rowTarget][]string {
	out := make(map[rowTarget][]string)
	if t == nil {
		return out
	}
	for _, row := range t.Rows() {
		if row.Kind == table.KindService {
			out[rowTarget{pool: row.Pool}] = append(out[rowTarget{pool: row.Pool}], row.Name)
			continue
		}
		serving, ok := t.Resolve(row.Name)
		if !ok {
			continue
		}
		target := rowTarget{name: serving.Model.Name}
		if serving.Adapter != nil {
			target.name = serving.Adapter.Name
		}
		out[target] = append(out[target], row.Name)
	}
	return out
}

// memberDemand is the demand of one instance for one row.
type memberDemand struct {
	member int // index in core.demands
	demand admission.Demand
}

func groupByRow(members []admission.MemberDemand) map[string][]memberDemand {
	out := make(map[string][]memberDemand)
	for i, m := range members {
		for _, d := range m.Rows {
			out[d.Row] = append(out[d.Row], memberDemand{i, d})
		}
	}
	return out
}

// endpointDemands returns each member's demand for the rows that an endpoint
// serves. It reuses the storage of out. The demand for a row is divided evenly
// among the endpoints that serve it.
func (c *core) endpointDemands(e fleet.EndpointID, out []admission.MemberDemand) []admission.MemberDemand {
	for i, m := range c.demands {
		out[i] = admission.MemberDemand{Member: m.Member, Rows: out[i].Rows[:0], InFlight: c.inFlight[e][m.Member]}
	}
	rows := c.routes.rows[e]
	for i, row := range rows {
		if slices.Contains(rows[:i], row) {
			continue // two versions of its target are resident
		}
		for _, m := range c.demandByRow[row] {
			d := m.demand
			d.Slots /= float64(c.routes.replicas[row])
			out[m.member].Rows = append(out[m.member].Rows, d)
		}
	}
	return out
}

// memberInFlight returns the requests in flight on each endpoint by live instance
// and rank.
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

// floors returns the share of slot time that is guaranteed to each rank.
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

// limitShares returns this instance's share of the limits of every limited row.
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

// publish builds a new snapshot for traffic goroutines.
func (c *core) publish(now time.Time) {
	s := &Snapshot{
		Self: c.config.Self, Table: c.table.Current(), Endpoints: c.listing.Endpoints,
		RoutableRows: c.routes.routable, Isolated: c.members.Isolated(now), AliveIncarnations: c.members.AliveIncarnations(),
		StoreEra: c.storeEra, StoreUnsettled: c.storeUnsettled,
	}
	s.ReportEndpoints = c.endpointsToRead()
	for _, m := range c.members.Members() {
		if m.Instance.PeerAddress != "" {
			s.PeerAddresses = append(s.PeerAddresses, m.Instance.PeerAddress)
		}
	}
	s.NotReadyReason = c.notReadyReason(s)
	s.Ready = s.NotReadyReason == ""
	c.snapshot = s
}

// reportAssignment caches the listed endpoints whose load reports this instance
// reads, with the inputs that determine them.
type reportAssignment struct {
	listed   []fleet.Endpoint
	version  uint64 // version of the report readers, from membership
	assigned []fleet.Endpoint
}

// assignedEndpoints returns the endpoints whose load reports this instance is
// assigned to read. The result is cached until the list or the members change,
// because it takes a hash per endpoint and member.
func (c *core) assignedEndpoints() []fleet.Endpoint {
	listed, version := c.listing.Endpoints, c.members.ReadersVersion()
	r := &c.reportAssignment
	if r.version == version && len(r.listed) == len(listed) && (len(listed) == 0 || &r.listed[0] == &listed[0]) {
		return r.assigned
	}
	*r = reportAssignment{listed: listed, version: version}
	for _, e := range listed {
		if c.members.ReadsReport(e.ID, e.DataCentre) {
			r.assigned = append(r.assigned, e)
		}
	}
	return r.assigned
}

// endpointsToRead returns the assigned endpoints and those reserved for a trial,
// because the trial starts when their load reports show them idle.
func (c *core) endpointsToRead() []fleet.Endpoint {
	out := c.assignedEndpoints()
	for _, e := range c.listing.Endpoints {
		if c.quarantineState.Reserved(e.ID) && !slices.Contains(out, e) {
			out = append(slices.Clip(out), e)
		}
	}
	return out
}

// notReadyReason returns the reason why the instance is not ready, or "".
func (c *core) notReadyReason(s *Snapshot) string {
	switch {
	case c.stopping:
		return "stopping"
	case s.Table == nil:
		return "no table yet"
	case !c.hasListing:
		return "platform's list not read yet"
	case s.Isolated:
		return "cut off from the store and from all peers"
	default:
		return ""
	}
}
