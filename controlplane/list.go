package controlplane

import "time"

const (
	// leaveShare is the part of the time within which a leaving replica has to be
	// left alone for which a list of replicas that came from the holder counts as
	// current; the rest is for an own read. The store answers the holder every
	// 650 ms, and the holder answers peers several times a second.
	leaveShare = 0.6
	// defaultLeave is that time if the deployment does not say.
	defaultLeave = 2 * time.Second
)

// listLifetime returns the age up to which the holder's list counts as current.
func (c *core) listLifetime() time.Duration {
	leave := c.node.Bounds.Leave
	if leave <= 0 {
		leave = defaultLeave
	}
	return time.Duration(leaveShare * float64(leave))
}

// ListSource says how this instance learns of changes of the list of replicas.
type ListSource uint8

// The sources of the list.
const (
	// FromStore means that the instance reads the list for itself only.
	FromStore ListSource = iota
	// ForOthers means that it reads the list for the others too.
	ForOthers
	// FromHolder means that the holder of the order lease keeps its list current,
	// so that the store need not be asked often.
	FromHolder
)

var listSourceNames = [...]string{"store", "store-for-others", "holder"}

// String returns the source's name for logs.
func (s ListSource) String() string { return listSourceNames[s] }

// ListSourceChanged says that the list comes from another source.
type ListSourceChanged struct{ Source ListSource }

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

// checkList tells the watch where the list comes from.
func (c *core) checkList(now time.Time) {
	source := FromStore
	switch {
	case c.leader.Held():
		source = ForOthers
	case now.Sub(c.listAt) < c.listLifetime():
		source = FromHolder
	}
	if source == c.listSource {
		return
	}
	c.listSource = source
	c.log.Info("list of replicas", "source", source.String(), "age", now.Sub(c.listAt), "version", c.roster.Version())
	c.send(ListSourceChanged{Source: source})
}
