package controlplane

import (
	"time"
)

// listLifetime is the age up to which a list of replicas that came from the
// holder counts as current. The store answers the holder every 650 ms, and the
// holder answers peers every 250 ms. A leaving replica has to be left alone
// within 2 s, so that time for an own read remains.
const listLifetime = 1200 * time.Millisecond

// ListRelayed says whether the holder of the order lease keeps this instance's
// list of replicas current, so that the store need not be asked often.
type ListRelayed struct{ Relayed bool }

// takeList takes over the list of replicas from the holder.
func (c *core) takeList(now time.Time, state FleetState) {
	if state.Holder == "" || state.ListVersion < c.roster.Version() {
		return
	}
	c.rosterChanged(now, c.roster.Apply(state.List, state.ListVersion), state.List)
	if c.listTable != "" {
		c.versions[c.listTable] = max(c.versions[c.listTable], state.Versions[c.listTable])
	}
	c.listAt = now.Add(-state.StoreAge)
	c.checkList(now)
}

// checkList tells the watch whether the list is relayed.
func (c *core) checkList(now time.Time) {
	relayed := now.Sub(c.listAt) < listLifetime && !c.leader.Held()
	if relayed == c.listRelayed {
		return
	}
	c.listRelayed = relayed
	c.log.Info("list of replicas", "relayed", relayed, "age", now.Sub(c.listAt), "version", c.roster.Version())
	c.send(ListRelayed{Relayed: relayed})
}
