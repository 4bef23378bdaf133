package burn

import (
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Total is the sum of the documents of different incarnations, in whatever order
// they are added. It does not keep the documents: those of 420 live and 620
// replaced instances can take several GB.
type Total struct {
	sources   map[Source]bool
	ranks     [fleet.RankCount]Series
	rows      map[Key]*Series
	moves     map[Move]*Series
	uncounted uint64
}

// NewTotal returns an empty sum.
func NewTotal() *Total {
	return &Total{sources: make(map[Source]bool), rows: make(map[Key]*Series), moves: make(map[Move]*Series)}
}

// Sources returns the number of documents in the sum.
func (t *Total) Sources() int { return len(t.sources) }

// Add adds a document and reports whether it did. It ignores a document of an
// incarnation that was added before, so the newest version must be added first.
func (t *Total) Add(d Document) bool {
	if t.sources[d.Source] {
		return false
	}
	t.sources[d.Source] = true
	t.uncounted += d.Uncounted
	for i := range d.Ranks {
		t.ranks[i].merge(&d.Ranks[i])
	}
	for i := range d.Rows {
		mergeInto(t.rows, d.Rows[i].Key, &d.Rows[i].Series)
	}
	for i := range d.Moves {
		mergeInto(t.moves, d.Moves[i].Move, &d.Moves[i].Series)
	}
	return true
}

// Clone returns a deep copy of t.
func (t *Total) Clone() *Total {
	c := NewTotal()
	for s := range t.sources {
		c.sources[s] = true
	}
	c.uncounted = t.uncounted
	for i := range t.ranks {
		c.ranks[i] = t.ranks[i].clone()
	}
	for k, series := range t.rows {
		mergeInto(c.rows, k, series)
	}
	for m, series := range t.moves {
		mergeInto(c.moves, m, series)
	}
	return c
}

// mergeInto adds s to the series under the key and creates that series if needed.
func mergeInto[K comparable](into map[K]*Series, key K, s *Series) {
	sum := into[key]
	if sum == nil {
		sum = new(Series)
		into[key] = sum
	}
	sum.merge(s)
}
