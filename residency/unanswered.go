package residency

// resumeUnansweredLoad takes the load that a busy replica reports for the load that was
// ordered last without an answer, if the replica has accepted one order since. Without it,
// the copy would not be known until it is loaded: another one would be planned, and requests
// would not wait for it. Loads from a slow store take long enough for this to matter.
//
// An order of an earlier holder can be the one that was accepted instead. The replica gets
// no order until it has finished, and its report then shows what it holds.
func (s *State) resumeUnansweredLoad(r *replica) {
	o := r.unanswered
	e := s.engine(r.info.Service)
	if o == nil || e == nil || r.acceptedOrders != o.ExpectedOrders+1 || !newPoolTraits(s.config, e, 0).slowStore {
		return
	}
	// The order was sent before lastUpdate.
	r.loading, r.loadFromStore, r.loadDue = o.Model, o.FromStore, r.lastUpdate.Add(s.loadTime(r, o.Model))
	r.loadOverdueAt = r.loadDue.Add(loadTimeMargin)
}
