package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// The world is a small model of the store, the engine, the network and two
// owners. The engine does what it is told, even when that overcommits its
// memory; the world's own account of memory and requests is the judge.

const (
	tick      = time.Minute
	lease     = 1 // ticks
	netDelay  = 2 // ticks after which a message in the network is gone
	capacity  = 80
	modelSize = 40
)

var start = time.Unix(0, 0)

// deviation breaks one rule of the ledger from outside, to show that the
// exploration finds what the rule guards against.
type deviation uint8

const (
	faithful      deviation = iota
	trustAck                // a state read shows memory free once its unload is acknowledged
	trustTokens             // the engine is said to check tokens but ignores them
	trustRestart            // tokens are said to survive a restart but do not
	noSenderProof           // every former holder is said to be finished at once
	noDelay                 // orders are said to take effect at once or never
	noReservation           // commits are reported that did not happen
)

type budget struct {
	ticks, takeovers, wants, dups, losses, timeouts, late, restarts, storeFaults, requests, instanceLoads int
}

type config struct {
	name     string
	checks   bool // the engine refuses old tokens
	survive  bool // also after a restart
	broken   deviation
	targets  [][]Item
	budget   budget
	maxState int
	reached  int               // states in which the last model of the second target serves
	from     func(*world) bool // the exploration starts in the first state where it holds
}

type message struct {
	order   engine.Order
	expires int
	owner   int // index of the owner that waits for the answer, or -1
}

type resident struct {
	Item
	releasing bool // unloaded, and memory not released yet
	running   int
}

type machine struct {
	boot      int
	highest   fleet.Token
	lastID    string
	residents []resident
}

type ownerModel struct {
	r      *Replica
	shared bool // another world uses r too
	outbox []Action
}

type world struct {
	cfg     *config
	now     int
	budget  budget
	rec     Record
	version uint64
	epoch   uint64
	holder  int
	until   int
	eng     machine
	net     []message
	own     [2]ownerModel
	want    int
	view    View // what an instance that owns nothing saw last
	viewAt  int
	bad     string
}

func (w *world) time() time.Time { return start.Add(time.Duration(w.now) * tick) }

func (c *config) settings() Settings {
	s := Settings{
		Replica: "r", CapacityMB: capacity,
		ChecksTokens:         c.checks || c.broken == trustTokens,
		TokensSurviveRestart: c.survive || c.broken == trustTokens || c.broken == trustRestart,
		MaxOrderDelay:        netDelay * tick, MaxViewAge: tick,
		// Negative periods are always over, so that every order of events is tried.
		DrainNotice: -1, DrainDeadline: time.Hour, Poll: -1, IdlePoll: -1, Retry: -1, Resend: tick,
	}
	if c.broken == noDelay {
		s.MaxOrderDelay = -1
	}
	return s
}

func newWorld(c *config) *world {
	w := &world{cfg: c, budget: c.budget, holder: -1}
	for i := range w.own {
		w.own[i].r = NewReplica(c.settings())
	}
	w.acquire(0)
	return w
}

func self(owner int, epoch uint64) Sender {
	return Sender{Instance: fleet.InstanceID(fmt.Sprint("o", owner)), Incarnation: 1, Epoch: epoch}
}

func (w *world) step(owner int, ev Event) {
	o := &w.own[owner]
	if o.shared {
		o.r, o.shared = o.r.clone(), false
	}
	o.outbox = append(slices.Clip(o.outbox), o.r.Step(w.time(), ev)...)
}

func (w *world) acquire(owner int) {
	w.epoch++
	w.holder, w.until = owner, w.now+lease
	w.step(owner, Adopt{Record: w.rec, Version: w.version, Self: self(owner, w.epoch), Until: start.Add(time.Duration(w.until) * tick)})
	w.step(owner, Want{Target: w.cfg.targets[w.want]})
}

func (w *world) persist(owner int, p Persist, applied, known bool) {
	ok := p.Expected == w.version && p.Record.Holder.Epoch == w.epoch
	id, epoch := p.Record.Write, p.Record.Holder.Epoch
	switch {
	case w.cfg.broken == noReservation && applied && known:
		w.step(owner, Persisted{Write: id, Epoch: epoch, Version: w.version})
		return
	case ok && applied:
		w.rec, w.version = p.Record, w.version+1
	}
	switch {
	case !known:
		w.step(owner, PersistUnknown{Write: id, Epoch: epoch})
	case ok:
		w.step(owner, Persisted{Write: id, Epoch: epoch, Version: w.version})
	default:
		w.step(owner, PersistConflict{Write: id, Epoch: epoch})
	}
}

// execute lets the engine handle an order and returns its answer.
func (w *world) execute(o engine.Order) engine.OrderResult {
	e := &w.eng
	if w.cfg.checks {
		c := o.Token.Compare(e.highest)
		if c < 0 || c == 0 && o.ID != e.lastID && o.Kind != engine.LoadAdapter {
			return engine.OrderResult{Reason: "old token", HighestToken: e.highest}
		}
		e.highest = o.Token
		if c > 0 {
			e.lastID = o.ID
		}
	}
	at := slices.IndexFunc(e.residents, func(r resident) bool { return r.Name == o.Name && r.Version == o.Version })
	switch o.Kind {
	case engine.LoadModel, engine.LoadAdapter:
		if at >= 0 {
			e.residents[at].releasing = false
		} else {
			e.residents = append(e.residents, resident{Item: Item{Name: o.Name, Base: o.Base, Version: o.Version, MemoryMB: o.MemoryMB}})
		}
	default:
		if at >= 0 {
			if e.residents[at].running > 0 {
				w.bad = "unload of " + o.Name + " cuts a running request"
			}
			e.residents[at].releasing = true
		}
	}
	used := 0
	for _, r := range e.residents {
		used += r.MemoryMB
	}
	if used > capacity {
		w.bad = fmt.Sprintf("engine holds %d of %d MB", used, capacity)
	}
	return engine.OrderResult{Accepted: true, HighestToken: e.highest}
}

func (w *world) state() engine.State {
	st := engine.State{BootID: fmt.Sprint("b", w.eng.boot), HighestToken: w.eng.highest, MemoryMB: capacity}
	if w.cfg.broken == trustTokens {
		// The naive owner takes its own last token for the engine's.
		st.HighestToken = fleet.Token{Epoch: w.epoch, Sequence: w.own[w.holder].r.sequence}
	}
	for _, r := range w.eng.residents {
		if r.releasing && w.cfg.broken == trustAck {
			continue
		}
		st.UsedMB += r.MemoryMB
		st.Residents = append(st.Residents, engine.Resident{
			Name: r.Name, Base: r.Base, Version: r.Version, MemoryMB: r.MemoryMB, Ready: !r.releasing, Running: r.running,
		})
	}
	return st
}

// expire drops messages that are older than the longest delay and tells the
// waiting senders that the outcome is unknown.
func (w *world) expire() {
	old := w.net
	w.net = nil
	for _, m := range old {
		if m.expires > w.now {
			w.net = append(w.net, m)
		}
	}
	for _, m := range old {
		if m.expires <= w.now && m.owner >= 0 {
			w.step(m.owner, OrderFailed{ID: m.order.ID})
		}
	}
}

// sending reports whether an order of the owner may still reach the network.
func (w *world) sending(owner int) bool {
	return slices.ContainsFunc(w.own[owner].outbox, func(a Action) bool { _, ok := a.(Send); return ok }) ||
		slices.ContainsFunc(w.net, func(m message) bool { return m.owner == owner })
}
