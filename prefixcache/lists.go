package prefixcache

// find returns the entry of a part on a replica, or none.
func (t *Table) find(id Replica, part uint64) int32 {
	i, ok := t.holders[part]
	if !ok {
		return none
	}
	for i != none && t.entries[i].replica != id {
		i = t.entries[i].nextHolder
	}
	return i
}

// insert adds an entry as the most recently used one. In a full table it takes the place
// of the least recently used one.
func (t *Table) insert(id Replica, part uint64) int32 {
	if t.used >= t.limit {
		t.drop(t.oldest)
	}
	i := t.free
	if i != none {
		t.free = t.entries[i].newer
	} else {
		t.entries = append(t.entries, entry{})
		i = int32(len(t.entries) - 1)
	}
	next, ok := t.holders[part]
	if !ok {
		next = none
	} else {
		t.entries[next].prevHolder = i
	}
	t.holders[part] = i
	t.entries[i] = entry{key: part, replica: id, nextHolder: next, prevHolder: none}
	t.linkUse(i)
	t.used++
	return i
}

// drop removes an entry.
func (t *Table) drop(i int32) {
	t.unlinkUse(i)
	e := &t.entries[i]
	if e.nextHolder != none {
		t.entries[e.nextHolder].prevHolder = e.prevHolder
	}
	switch {
	case e.prevHolder != none:
		t.entries[e.prevHolder].nextHolder = e.nextHolder
	case e.nextHolder != none:
		t.holders[e.key] = e.nextHolder
	default:
		delete(t.holders, e.key)
	}
	e.newer, t.free = t.free, i
	t.used--
}

// linkUse makes an entry the most recently used one of its replica and of the table.
func (t *Table) linkUse(i int32) {
	e := &t.entries[i]
	r := &t.replicas[e.replica]
	e.newer, e.older = none, r.newest
	if r.newest != none {
		t.entries[r.newest].newer = i
	} else {
		r.oldest = i
	}
	r.newest = i
	e.newerOfAll, e.olderOfAll = none, t.newest
	if t.newest != none {
		t.entries[t.newest].newerOfAll = i
	} else {
		t.oldest = i
	}
	t.newest = i
}

// unlinkUse removes an entry from the lists by last use.
func (t *Table) unlinkUse(i int32) {
	e := &t.entries[i]
	r := &t.replicas[e.replica]
	if e.newer != none {
		t.entries[e.newer].older = e.older
	} else {
		r.newest = e.older
	}
	if e.older != none {
		t.entries[e.older].newer = e.newer
	} else {
		r.oldest = e.newer
	}
	if e.newerOfAll != none {
		t.entries[e.newerOfAll].olderOfAll = e.olderOfAll
	} else {
		t.newest = e.olderOfAll
	}
	if e.olderOfAll != none {
		t.entries[e.olderOfAll].newerOfAll = e.newerOfAll
	} else {
		t.oldest = e.newerOfAll
	}
}
