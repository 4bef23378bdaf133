package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// DefaultWriteInterval is the least time between writes of a document. 420
// instances then make 14 writes/s.
const DefaultWriteInterval = 30 * time.Second

// Key names the series of one row under one rank.
type Key struct {
	Row  string
	Rank fleet.Rank
}

// Event is what the state is told.
type Event interface{ burnEvent() }

// Ended tells that a request has ended.
type Ended struct{ Sample Sample }

// Moved tells that a model move was planned.
type Moved struct{ Move Move }

// Lost tells that this many samples could not be counted.
type Lost struct{ Samples uint64 }

// Tick lets time pass.
type Tick struct{}

// Stopping asks for a last write.
type Stopping struct{}

// Written answers a Write.
type Written struct {
	Sequence uint64
	OK       bool // false: not written, or the outcome is not known
}

func (Ended) burnEvent()    {}
func (Moved) burnEvent()    {}
func (Lost) burnEvent()     {}
func (Tick) burnEvent()     {}
func (Stopping) burnEvent() {}
func (Written) burnEvent()  {}

// Action is what the state asks for.
type Action interface{ burnAction() }

// Write asks to store a document under the name of its source, in place of its
// older version. The answer is Written; until then there is no other Write.
type Write struct{ Document Document }

func (Write) burnAction() {}

// State holds the counts of one incarnation.
type State struct {
	source   Source
	interval time.Duration

	ranks [fleet.RankCount]Series
	rows  map[Key]*Series
	moves map[Move]*Series
	lost  uint64

	version     uint64 // grows with every change
	written     uint64 // highest version known to be stored
	writing     bool
	lastAttempt time.Time
	stopping    bool
	lastWrite   bool  // the write for the stop has been asked for
	expired     int64 // minute of the last expiry
}

// NewState returns empty counts. The first write comes one interval after now.
func NewState(s Source, interval time.Duration, now time.Time) *State {
	return &State{source: s, interval: interval, lastAttempt: now, rows: make(map[Key]*Series), moves: make(map[Move]*Series)}
}

// Step handles one event.
func (s *State) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Ended:
		s.count(now, &ev.Sample)
	case Moved:
		s.move(now, ev.Move)
	case Lost:
		s.lost += ev.Samples
		s.version++
	case Written:
		s.writing = false
		if ev.OK {
			s.written = max(s.written, ev.Sequence)
		}
	case Stopping:
		s.stopping = true
	}
	s.expire(now)
	return s.write(now)
}

// write decides whether the document is written now: if it has changed, no
// write is in progress, and the interval has passed or the instance stops. A
// failed last write is not repeated.
func (s *State) write(now time.Time) []Action {
	if s.writing || s.lastWrite || s.version == s.written {
		return nil
	}
	if now.Sub(s.lastAttempt) < s.interval && !s.stopping {
		return nil
	}
	s.writing, s.lastWrite, s.lastAttempt = true, s.stopping, now
	return []Action{Write{Document: s.Document(now)}}
}

func (s *State) count(now time.Time, sample *Sample) {
	if int(sample.Rank) >= fleet.RankCount {
		return
	}
	asked := Counts{Asked: 1}
	arrived := now.Add(-min(max(sample.Took, 0), time.Hour))
	ended := sample.counts()
	row := s.row(Key{Row: sample.Row, Rank: sample.Rank})
	for _, series := range []*Series{&s.ranks[sample.Rank], row} {
		series.add(arrived, &asked)
		series.add(now, &ended)
	}
	s.version++
}

func (s *State) row(k Key) *Series {
	series := s.rows[k]
	if series == nil && len(s.rows) >= maxRows-fleet.RankCount {
		k.Row = OtherRows
		series = s.rows[k]
	}
	if series == nil {
		series = new(Series)
		s.rows[k] = series
	}
	return series
}

func (s *State) move(now time.Time, m Move) {
	series := s.moves[m]
	if series == nil && len(s.moves) >= maxMoves {
		return
	}
	if series == nil {
		series = new(Series)
		s.moves[m] = series
	}
	series.add(now, &Counts{Planned: 1})
	s.version++
}

// expire drops what is too old, once a minute.
func (s *State) expire(now time.Time) {
	minute := indexOf(now, time.Minute)
	if minute == s.expired {
		return
	}
	s.expired = minute
	for i := range s.ranks {
		s.ranks[i].expire(now, fineBuckets)
	}
	maps.DeleteFunc(s.rows, func(_ Key, series *Series) bool { return !series.expire(now, coarseBuckets) })
	maps.DeleteFunc(s.moves, func(_ Move, series *Series) bool { return !series.expire(now, fineBuckets) })
}

// Document is the counts of one incarnation at one time.
type Document struct {
	Source   Source
	Sequence uint64 // grows with every version of the document
	Updated  time.Time
	Ranks    [fleet.RankCount]Series
	Rows     []RowSeries
	Moves    []MoveSeries
	Lost     uint64 // requests that were not counted since the start
}

// RowSeries is the series of one row under one rank.
type RowSeries struct {
	Key    Key
	Series Series
}

// MoveSeries is the series of one kind of move.
type MoveSeries struct {
	Move   Move
	Series Series
}

// Document returns a copy of the counts. Equal sequences mean equal counts,
// but for buckets that were dropped because of their age.
func (s *State) Document(now time.Time) Document {
	d := Document{Source: s.source, Sequence: s.version, Updated: now, Lost: s.lost}
	for i := range s.ranks {
		d.Ranks[i] = s.ranks[i].clone()
	}
	for k, series := range s.rows {
		d.Rows = append(d.Rows, RowSeries{Key: k, Series: series.clone()})
	}
	for m, series := range s.moves {
		d.Moves = append(d.Moves, MoveSeries{Move: m, Series: series.clone()})
	}
	slices.SortFunc(d.Rows, func(a, b RowSeries) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(d.Moves, func(a, b MoveSeries) int { return compareMoves(a.Move, b.Move) })
	return d
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Row, b.Row))
}

func compareMoves(a, b Move) int {
	return cmp.Or(cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Action, b.Action))
}

// Expired reports whether a document holds nothing that a report could use:
// every bucket of it is older than the longest window.
func (d *Document) Expired(now time.Time) bool {
	return d.Updated.Before(now.Add(-BudgetPeriod - time.Hour))
}

// Writing reports whether a Write has not been answered yet.
func (s *State) Writing() bool { return s.writing }
