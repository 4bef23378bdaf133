package ledger

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// digest collects everything that the future of a world depends on. Counters
// of queries and generations matter only by whether a read overlaps an order,
// and past times only until the longest order delay has gone by.
type digest []byte

func (d *digest) ints(vs ...int) {
	b := *d
	for _, v := range vs {
		b = binary.AppendVarint(b, int64(v))
	}
	*d = b
}

func (d *digest) bools(vs ...bool) {
	b := *d
	for _, v := range vs {
		if v {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	*d = b
}

func (d *digest) text(s string) { *d = append(append(*d, s...), 0) }

func (d *digest) token(t fleet.Token) { d.ints(int(t.Epoch), int(t.Sequence)) }

func (d *digest) entries(list []Entry) {
	d.ints(len(list))
	for i := range list {
		d.entry(&list[i])
	}
}

func (d *digest) entry(e *Entry) {
	d.text(e.Name)
	d.text(e.Version)
	d.ints(int(e.State))
	d.bools(e.Freed)
	d.token(e.LoadToken)
	d.token(e.UnloadToken)
	d.senders(e.LoadSenders)
	d.senders(e.UnloadSenders)
}

func (d *digest) senders(list []Sender) {
	d.ints(len(list))
	for _, s := range list {
		d.sender(s)
	}
}

func (d *digest) sender(s Sender) {
	d.text(string(s.Instance))
	d.ints(int(s.Epoch))
}

func (d *digest) replica(r *Replica, now time.Time) {
	age := func(t time.Time) int { return min(int(now.Sub(t)/tick), netDelay) }
	d.ints(int(r.self.Epoch), int(r.until.Unix()), int(r.sequence), age(r.query.at))
	d.bools(r.holding, r.observed, r.dirty, r.reading, r.query.pending, r.query.generation == r.generation, r.readAfter == r.generation)
	d.token(r.seen)
	d.text(r.boot)
	for _, e := range r.entries {
		d.entry(&e.Entry)
		d.ints(age(e.loadReturned), age(e.unloadReturned), age(e.drainSince), e.running)
		d.bools(r.query.at.Before(e.loadsClosed), e.drainSince.IsZero(), e.readAt.Before(e.drainSince), e.resident, e.ready, now.Before(e.retryAt))
	}
	if r.saving != nil {
		d.entries(r.saving.record.Entries)
		d.token(r.saving.record.Seen)
		d.bools(r.saving.unknown, r.saving.order != nil)
	}
	d.bools(r.order != nil)
	for _, id := range slices.Sorted(maps.Keys(r.open)) {
		d.text(id)
	}
	for _, s := range r.senders() {
		if at, ok := r.finished[s]; ok {
			d.sender(s)
			d.ints(age(at))
		}
	}
}

func (d *digest) machine(m machine) {
	d.ints(m.boot)
	d.token(m.highest)
	d.text(m.lastID)
	for _, r := range m.residents {
		d.text(r.Name)
		d.text(r.Version)
		d.ints(r.running)
		d.bools(r.releasing)
	}
	d.ints(-1)
}

func (d *digest) action(w *world, i int, a Action) {
	r := w.own[i].r
	switch a := a.(type) {
	case Send:
		d.text(a.Order.ID)
		d.ints(int(a.NotAfter.Unix()))
	case Persist:
		d.entries(a.Record.Entries)
		d.token(a.Record.Seen)
		d.bools(a.Record.Write == r.write && a.Record.Holder.Epoch == r.self.Epoch, a.Expected == w.version)
	case Query:
		d.bools(a.ID == r.query.id)
	default:
		d.text("read")
	}
}

func (w *world) hash() uint64 {
	d := make(digest, 0, 1024)
	b := w.budget
	d.ints(w.now, b.ticks, b.takeovers, b.wants, b.dups, b.losses, b.timeouts, b.late, b.restarts, b.storeFaults, b.requests,
		b.instanceLoads, int(w.epoch), w.holder, w.until, w.want, w.viewAt, len(w.view.Entries))
	d.token(w.view.Token)
	d.token(w.rec.Seen)
	d.sender(w.rec.Holder)
	d.entries(w.rec.Entries)
	d.machine(w.eng)
	for _, m := range w.net {
		d.text(m.order.ID)
		d.ints(m.expires, m.owner)
	}
	for i := range w.own {
		d.ints(-2)
		for _, a := range w.own[i].outbox {
			d.action(w, i, a)
		}
		d.bools(w.own[i].r.version == w.version)
		d.replica(w.own[i].r, w.time())
	}
	return xxhash.Sum64(d)
}
