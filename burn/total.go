package burn

import (
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Total is a sum over documents of different incarnations. The order in which
// they are added does not matter. It does not keep the documents, which would
// need several GB at full size, with 420 live and 620 replaced instances.
type Total struct {
	sources map[Source]bool
	ranks   [fleet.RankCount]Series
	rows    map[Key]*Series
	moves   map[Move]*Series
	lost    uint64
}

// NewTotal returns an empty sum.
func NewTotal() *Total {
	return &Total{sources: make(map[Source]bool), rows: make(map[Key]*Series), moves: make(map[Move]*Series)}
}

// Sources returns the number of documents in the sum.
func (t *Total) Sources() int { return len(t.sources) }

// Add adds a document. It adds nothing and returns false if a document of the
// same incarnation was added before, so the newest version must come first.
func (t *Total) Add(d Document) bool {
	if t.sources[d.Source] {
		return false
	}
	t.sources[d.Source] = true
	t.lost += d.Lost
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

// Clone returns a sum that can be added to without changing t.
func (t *Total) Clone() *Total {
	c := NewTotal()
	for s := range t.sources {
		c.sources[s] = true
	}
	c.lost = t.lost
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

func mergeInto[K comparable](into map[K]*Series, key K, s *Series) {
	have := into[key]
	if have == nil {
		have = new(Series)
		into[key] = have
	}
	have.merge(s)
}
