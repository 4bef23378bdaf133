// Package prefixcache estimates which replicas hold which parts of prompts in their KV
// cache, and with which probability. It does no I/O, reads no clock and is not safe for
// concurrent use; the control goroutine owns it.
//
// The load pattern: thousands of prompt parts, most of them rare and some popular, are
// sent by many instances to replicas that drop the least recently used parts as soon as
// running requests need the memory. Nothing tells an instance what a replica has dropped.
//
// Invariants: a part counts as held only by a replica to which it is known to have been
// sent since the replica's process started and loaded the model, and a part that was
// dropped only after a further use. The table never has more than maxEntries entries, and
// an operation takes time proportional to the entries that it drops and the replicas that
// hold the part.
package prefixcache

import "time"

// maxEntries limits the entries of a table, one for each pair of part and replica. An
// entry takes about 90 bytes with its share of the index, so that a full table takes
// less than 8 MB.
const maxEntries = 1 << 16

// none is the index that stands for no entry.
const none int32 = -1

// Replica identifies a replica in a Table. The zero value identifies none.
type Replica int32

// entry records that a replica processed a part. It is in three lists: of its replica and
// of the table, both by last use, and of the replicas that hold the same part.
type entry struct {
	key      uint64
	usedAt   int64   // Unix time of the last use in nanoseconds
	position float64 // replica.work at the last use
	replica  Replica
	pins     int32 // running requests of this instance that use the part

	newer, older           int32 // of the same replica
	nextHolder, prevHolder int32 // of the same part
	newerOfAll, olderOfAll int32
}

// replica holds what is known of one replica's cache.
type replica struct {
	newest, oldest int32
	// work is the number of tokens that the replica is thought to have taken into its
	// cache. Parts are dropped in the order of last use, so the work since then tells
	// how near a part is to being dropped.
	work float64
	room float64 // tokens that fit beside the running requests
	// retention scales room by what answers have shown.
	retention float64
	doubt     float64            // sum of the evidence that expected parts were missing
	unloaded  map[string]float64 // work when a model was last unloaded
}

// Table is the estimate of all replicas' caches.
type Table struct {
	entries        []entry
	free           int32 // first of the unused entries, linked by newer
	used           int
	limit          int
	newest, oldest int32
	holders        map[uint64]int32 // first entry of a part
	replicas       []replica        // index 0 is not used
	freeReplicas   []Replica
}

// New returns an empty table.
func New() *Table {
	return &Table{free: none, newest: none, oldest: none, limit: maxEntries, holders: make(map[uint64]int32), replicas: make([]replica, 1)}
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.used }

// AddReplica adds a replica with an empty cache of unknown size.
func (t *Table) AddReplica() Replica {
	fresh := replica{newest: none, oldest: none, retention: 1}
	if n := len(t.freeReplicas); n > 0 {
		id := t.freeReplicas[n-1]
		t.freeReplicas = t.freeReplicas[:n-1]
		t.replicas[id] = fresh
		return id
	}
	t.replicas = append(t.replicas, fresh)
	return Replica(len(t.replicas) - 1)
}

// RemoveReplica removes a replica and its entries. Its identifier can be used again.
func (t *Table) RemoveReplica(id Replica) {
	if id == 0 {
		return
	}
	t.Forget(id)
	t.freeReplicas = append(t.freeReplicas, id)
}

// Forget drops all entries of a replica that has crashed or can't be reached. It returns
// their number.
func (t *Table) Forget(id Replica) int {
	if id == 0 {
		return 0
	}
	r, n := &t.replicas[id], 0
	for ; r.oldest != none; n++ {
		t.drop(r.oldest)
	}
	r.unloaded, r.doubt = nil, 0
	return n
}

// maxUnloaded limits the unloaded models that are remembered for a replica.
const maxUnloaded = 32

// ForgetModel drops the parts of a model that a replica has unloaded or replaced by
// another version. Entries don't name their model, so those with an earlier last use are
// ignored when they are looked up for the model.
func (t *Table) ForgetModel(id Replica, model string) {
	if id == 0 {
		return
	}
	r := &t.replicas[id]
	if r.newest == none {
		return
	}
	if len(r.unloaded) >= maxUnloaded {
		t.Forget(id)
		return
	}
	if r.unloaded == nil {
		r.unloaded = make(map[string]float64)
	}
	r.unloaded[model] = r.work
	r.work++ // later uses get a higher position
}

// SetRoom records the number of tokens that fit into the replica's cache beside its
// running requests, and drops the parts that no longer fit. A part in use stays.
func (t *Table) SetRoom(id Replica, tokens float64) {
	if id == 0 {
		return
	}
	r := &t.replicas[id]
	r.room = max(tokens, 0)
	limit := maxFill * r.room * r.retention
	for i := r.oldest; i != none && r.work-t.entries[i].position > limit; {
		e := &t.entries[i]
		newer := e.newer
		if e.pins == 0 {
			t.drop(i)
		}
		i = newer
	}
}

// AddWork records that a replica takes tokens into its cache that are in no part that
// other requests can have, or that other instances sent.
func (t *Table) AddWork(id Replica, tokens float64) {
	if id != 0 && tokens > 0 {
		t.replicas[id].work += tokens
	}
}

// Use records that a replica processes a part now. A part that it is not known to hold
// adds its tokens to the work.
func (t *Table) Use(now time.Time, id Replica, model string, part uint64, tokens int) {
	if id == 0 {
		return
	}
	r := &t.replicas[id]
	i := t.find(id, part)
	if i == none || t.isUnloaded(r, &t.entries[i], model) {
		r.work += float64(tokens)
	}
	t.touch(now, id, part, i)
}

// touch makes a part the most recently used one of its replica.
func (t *Table) touch(now time.Time, id Replica, part uint64, i int32) {
	if i == none {
		i = t.insert(id, part)
	} else {
		t.unlinkUse(i)
		t.linkUse(i)
	}
	t.entries[i].usedAt, t.entries[i].position = now.UnixNano(), t.replicas[id].work
}

// Pin records that a running request of this instance uses a part, so that the replica
// can't drop it. Use must have been called for the part.
func (t *Table) Pin(id Replica, part uint64) {
	if i := t.find(id, part); i != none {
		t.entries[i].pins++
	}
}

// Unpin ends what Pin recorded. The end of the request counts as a use of the part.
func (t *Table) Unpin(now time.Time, id Replica, model string, part uint64) {
	i := t.find(id, part)
	if i == none || t.entries[i].pins == 0 {
		return // dropped since
	}
	t.entries[i].pins--
	if !t.isUnloaded(&t.replicas[id], &t.entries[i], model) {
		t.touch(now, id, part, i)
	}
}

// isUnloaded reports whether the entry's replica has unloaded the model since the last
// use of the part.
func (t *Table) isUnloaded(r *replica, e *entry, model string) bool {
	if r.unloaded == nil {
		return false
	}
	at, ok := r.unloaded[model]
	return ok && e.position <= at
}
