package ledger

import (
	"fmt"
	"slices"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// choice is one thing that can happen next in a world.
type choice struct {
	name string
	do   func(w *world)
}

// choices lists everything that can happen next.
func (w *world) choices() []choice {
	var out []choice
	add := func(name string, do func(w *world)) { out = append(out, choice{name, do}) }
	for i := range w.own {
		for j, a := range w.own[i].outbox {
			w.outboxChoices(i, j, a, add)
		}
	}
	for j, m := range w.net {
		w.networkChoices(j, m, add)
	}
	w.engineChoices(add)
	w.ownerChoices(add)
	w.instanceChoices(add)
	return out
}

func (w *world) outboxChoices(i, j int, a Action, add func(string, func(*world))) {
	pop := func(w *world) { w.own[i].outbox = slices.Delete(slices.Clone(w.own[i].outbox), j, j+1) }
	name := fmt.Sprintf("owner %d: %T", i, a)
	switch a := a.(type) {
	case Persist:
		add(name, func(w *world) { pop(w); w.persist(i, a, true, true) })
		if w.budget.storeFaults > 0 {
			for _, applied := range []bool{true, false} {
				add(fmt.Sprint(name, " unknown, applied ", applied), func(w *world) { w.budget.storeFaults--; pop(w); w.persist(i, a, applied, false) })
			}
		}
	case ReadRecord:
		add(name, func(w *world) { pop(w); w.step(i, RecordRead{Record: w.rec, Version: w.version}) })
	case Query:
		add(name, func(w *world) { pop(w); w.step(i, Observed{Query: a.ID, State: w.state()}) })
	case Send:
		name += fmt.Sprintf(" %s kind %d %v", a.Order.Name, a.Order.Kind, a.Order.Token)
		put := func(w *world) {
			pop(w)
			w.net = append(slices.Clone(w.net), message{a.Order, w.now + netDelay, i})
		}
		if w.time().Before(a.NotAfter) {
			add(name, put)
			return
		}
		add(name+" given up", func(w *world) { pop(w); w.step(i, OrderFailed{ID: a.Order.ID, NotExecuted: true}) })
		if w.budget.late > 0 { // paused between the check and the send
			add(name+" late", func(w *world) { w.budget.late--; put(w) })
		}
	}
}

func (w *world) networkChoices(j int, m message, add func(string, func(*world))) {
	name := fmt.Sprintf("order %s kind %d %v", m.order.Name, m.order.Kind, m.order.Token)
	drop := func(w *world) { w.net = slices.Delete(slices.Clone(w.net), j, j+1) }
	orphan := func(w *world) { w.net = slices.Clone(w.net); w.net[j].owner = -1 }
	tell := func(w *world, ev Event) {
		if m.owner >= 0 {
			w.step(m.owner, ev)
		}
	}
	add(name+" executed", func(w *world) {
		drop(w)
		tell(w, OrderAnswered{ID: m.order.ID, Result: w.execute(m.order)})
	})
	if w.budget.dups > 0 {
		add(name+" executed, and duplicated", func(w *world) {
			w.budget.dups--
			orphan(w)
			tell(w, OrderAnswered{ID: m.order.ID, Result: w.execute(m.order)})
		})
	}
	if m.owner < 0 {
		return
	}
	if w.budget.losses > 0 {
		add(name+" executed, answer lost", func(w *world) { w.budget.losses--; drop(w); w.execute(m.order); tell(w, OrderFailed{ID: m.order.ID}) })
		add(name+" lost", func(w *world) { w.budget.losses--; drop(w); tell(w, OrderFailed{ID: m.order.ID}) })
	}
	if w.budget.timeouts > 0 {
		add(name+" timed out", func(w *world) { w.budget.timeouts--; orphan(w); tell(w, OrderFailed{ID: m.order.ID}) })
	}
}

func (w *world) engineChoices(add func(string, func(*world))) {
	for j, r := range w.eng.residents {
		if r.releasing {
			add("engine releases "+r.Name, func(w *world) { w.eng.residents = slices.Delete(slices.Clone(w.eng.residents), j, j+1) })
			continue
		}
		if r.running > 0 {
			add("request ends on "+r.Name, func(w *world) {
				w.eng.residents = slices.Clone(w.eng.residents)
				w.eng.residents[j].running--
			})
		} else if w.budget.requests > 0 && w.servable(r) {
			add("request starts on "+r.Name, func(w *world) {
				w.budget.requests--
				w.eng.residents = slices.Clone(w.eng.residents)
				w.eng.residents[j].running++
			})
		}
	}
	if w.budget.restarts > 0 {
		add("engine restarts", func(w *world) {
			w.budget.restarts--
			w.eng.boot++
			w.eng.residents = nil
			if !w.cfg.survive {
				w.eng.highest, w.eng.lastID = fleet.Token{}, ""
			}
		})
	}
}

// servable reports whether requests are routed to the resident: the holder
// serves it and the stored record does not say otherwise.
func (w *world) servable(r resident) bool {
	for _, v := range []View{ViewOf(w.rec), w.own[w.holder].r.View()} {
		if slices.ContainsFunc(v.Entries, func(e ViewEntry) bool { return e.Name == r.Name && e.Version == r.Version && e.Servable }) {
			return true
		}
	}
	return false
}

func (w *world) ownerChoices(add func(string, func(*world))) {
	h := w.holder
	if w.budget.ticks > 0 {
		for _, renew := range []bool{true, false} {
			if renew && w.now >= w.until {
				continue
			}
			add(fmt.Sprint("time passes, renewed ", renew), func(w *world) {
				w.budget.ticks--
				w.now++
				if renew {
					w.until = w.now + lease
					w.step(h, LeaseRenewed{Until: w.time().Add(lease * tick)})
				}
				w.expire()
				for i := range w.own {
					w.step(i, Tick{})
				}
			})
		}
	}
	if w.budget.takeovers > 0 && w.now >= w.until {
		add("takeover", func(w *world) { w.budget.takeovers--; w.acquire(1 - h) })
	}
	if w.want+1 < len(w.cfg.targets) && w.budget.wants > 0 {
		add("new target", func(w *world) {
			w.budget.wants--
			w.want++
			w.step(w.holder, Want{Target: w.cfg.targets[w.want]})
		})
	}
	former := 1 - h
	if w.epoch > 1 && (!w.sending(former) || w.cfg.broken == noSenderProof) && slices.ContainsFunc(w.own[h].r.senders(), func(s Sender) bool {
		_, known := w.own[h].r.finished[s]
		return s.Instance == self(former, 0).Instance && !known
	}) {
		add("former holder finished", func(w *world) {
			if w.cfg.broken != noSenderProof {
				w.step(former, LeaseLost{})
			}
			w.step(h, SenderFinished{self(former, w.epoch-1)})
		})
	}
}

// instanceChoices are those of an instance that loads reserved adapters.
func (w *world) instanceChoices(add func(string, func(*world))) {
	if w.budget.instanceLoads == 0 {
		return
	}
	if v := ViewOf(w.rec); v.Token != w.view.Token || len(v.Entries) != len(w.view.Entries) {
		add("instance sees the record", func(w *world) { w.view, w.viewAt = v, w.now })
	}
	if w.now >= w.viewAt+1 { // MaxViewAge
		return
	}
	for _, e := range w.view.Entries {
		if e.Loadable {
			add("instance loads "+e.Name, func(w *world) {
				w.budget.instanceLoads--
				w.net = append(slices.Clone(w.net), message{engine.Order{
					ID: fmt.Sprint("i", w.budget.instanceLoads), Token: w.view.Token, Kind: engine.LoadAdapter,
					Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB,
				}, w.now + netDelay, -1})
			})
		}
	}
}
