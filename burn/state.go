package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// DefaultWriteInterval is the minimum time between writes of a document. At this
// interval 420 instances cause 14 writes/s.
const DefaultWriteInterval = 30 * time.Second

// Key identifies the series of one row and rank.
type Key struct {
	Row  string
	Rank fleet.Rank
}

// Event is an input of State.Step.
type Event interface{ burnEvent() }

// Ended reports that a request has ended.
type Ended struct{ Sample Sample }

// Moved reports that a model move was planned.
type Moved struct{ Move Move }

// Uncounted reports the number of samples that could not be counted.
type Uncounted struct{ Samples uint64 }

// Tick makes the state check what is due at the given time.
type Tick struct{}

// Stopping reports that the instance stops. It makes the final write due.
type Stopping struct{}

// Written reports the result of a Write.
type Written struct {
	Sequence uint64
	OK       bool // false if the write failed or its outcome is unknown
}

func (Ended) burnEvent()     {}
func (Moved) burnEvent()     {}
func (Uncounted) burnEvent() {}
func (Tick) burnEvent()      {}
func (Stopping) burnEvent()  {}
func (Written) burnEvent()   {}

// Action is an output of State.Step that the service carries out.
type Action interface{ burnAction() }

// Write asks to store a document under the name of its source, replacing the
// older version. No further Write is returned until Written reports the result.
type Write struct{ Document Document }

func (Write) burnAction() {}

// State holds the counts of one incarnation and decides when they are written.
type State struct {
	source   Source
	interval time.Duration

	ranks     [fleet.RankCount]Series
	rows      map[Key]*Series
	moves     map[Move]*Series
	uncounted uint64

	sequence         uint64 // incremented by every change
	storedSequence   uint64 // highest sequence known to be stored
	writeInProgress  bool
	lastWriteAttempt time.Time
	stopping         bool
	finalWriteIssued bool  // the final write has been returned
	expiredMinute    int64 // index of the minute in which expire last ran
}

// NewState returns a state without counts. The first write is due one interval
// after now.
func NewState(s Source, interval time.Duration, now time.Time) *State {
	return &State{source: s, interval: interval, lastWriteAttempt: now, rows: make(map[Key]*Series), moves: make(map[Move]*Series)}
}

// Step handles one event and returns the actions that are due.
func (s *State) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Ended:
		s.countRequest(now, &ev.Sample)
	case Moved:
		s.countMove(now, ev.Move)
	case Uncounted:
		s.uncounted += ev.Samples
		s.sequence++
	case Written:
		s.writeInProgress = false
		if ev.OK {
			s.storedSequence = max(s.storedSequence, ev.Sequence)
		}
	case Stopping:
		s.stopping = true
	}
	s.expire(now)
	return s.writeIfDue(now)
}

// writeIfDue returns a write if the counts have changed, no write is in progress,
// and the interval has passed or the instance is stopping. A failed final write
// is not retried.
func (s *State) writeIfDue(now time.Time) []Action {
	if s.writeInProgress || s.finalWriteIssued || s.sequence == s.storedSequence {
		return nil
	}
	if now.Sub(s.lastWriteAttempt) < s.interval && !s.stopping {
		return nil
	}
	s.writeInProgress, s.finalWriteIssued, s.lastWriteAttempt = true, s.stopping, now
	return []Action{Write{Document: s.Document(now)}}
}

// countRequest counts the arrival and the outcome of a request that ended now,
// under its rank and its row.
func (s *State) countRequest(now time.Time, sample *Sample) {
	if int(sample.Rank) >= fleet.RankCount {
		return
	}
	received := Counts{Received: 1}
	arrived := now.Add(-min(max(sample.Duration, 0), time.Hour))
	ended := sample.counts()
	row := s.rowSeries(Key{Row: sample.Row, Rank: sample.Rank})
	for _, series := range []*Series{&s.ranks[sample.Rank], row} {
		series.add(arrived, &received)
		series.add(now, &ended)
	}
	s.sequence++
}

// rowSeries returns the series of the key, or the series of OtherRows if the limit
// on rows is reached. It creates the series if needed.
func (s *State) rowSeries(k Key) *Series {
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

// countMove counts a planned move. It ignores kinds of move beyond maxMoves.
func (s *State) countMove(now time.Time, m Move) {
	series := s.moves[m]
	if series == nil && len(s.moves) >= maxMoves {
		return
	}
	if series == nil {
		series = new(Series)
		s.moves[m] = series
	}
	series.add(now, &Counts{MovesPlanned: 1})
	s.sequence++
}

// expire drops old buckets and empty series, once a minute.
func (s *State) expire(now time.Time) {
	minute := bucketIndex(now, time.Minute)
	if minute == s.expiredMinute {
		return
	}
	s.expiredMinute = minute
	for i := range s.ranks {
		s.ranks[i].expire(now, rankMinuteBuckets)
	}
	maps.DeleteFunc(s.rows, func(_ Key, series *Series) bool { return !series.expire(now, rowMinuteBuckets) })
	maps.DeleteFunc(s.moves, func(_ Move, series *Series) bool { return !series.expire(now, rankMinuteBuckets) })
}

// Document is a snapshot of the counts of one incarnation.
type Document struct {
	Source    Source
	Sequence  uint64 // higher in every newer version of the document
	Updated   time.Time
	Ranks     [fleet.RankCount]Series
	Rows      []RowSeries
	Moves     []MoveSeries
	Uncounted uint64 // requests since the start that could not be counted
}

// RowSeries is the series of one row and rank.
type RowSeries struct {
	Key    Key
	Series Series
}

// MoveSeries is the series of one kind of move.
type MoveSeries struct {
	Move   Move
	Series Series
}

// Document returns a snapshot of the counts. Documents of equal sequence have
// equal counts, except for expired buckets.
func (s *State) Document(now time.Time) Document {
	d := Document{Source: s.source, Sequence: s.sequence, Updated: now, Uncounted: s.uncounted}
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

// Expired reports whether all buckets of the document are too old for a report,
// which covers the budget period.
func (d *Document) Expired(now time.Time) bool {
	return d.Updated.Before(now.Add(-BudgetPeriod - time.Hour))
}

// Writing reports whether a write is in progress.
func (s *State) Writing() bool { return s.writeInProgress }
