package control

import "expvar"

// counters are the expvar counters of the control goroutine.
type counters struct {
	vars                       *expvar.Map
	events, actions, snapshots *expvar.Int
}

func newCounters(inboxLen func() int) counters {
	vars := new(expvar.Map).Init()
	add := func(name string) *expvar.Int {
		v := new(expvar.Int)
		vars.Set(name, v)
		return v
	}
	vars.Set("events_waiting", expvar.Func(func() any { return inboxLen() }))
	return counters{vars: vars, events: add("events_handled"), actions: add("actions_published"), snapshots: add("snapshots_published")}
}

// Vars returns the exported counters of the control goroutine.
func (s *Service) Vars() *expvar.Map { return s.counters.vars }
