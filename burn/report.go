package burn

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// DefaultObjective is the share of valid requests that should be good, for
// rows without an objective of their own.
const DefaultObjective = 0.99

// Windows of a report, shortest first.
var Windows = [3]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// The burn rates at which a rank or row is alerted on, as is usual for
// service-level objectives over 30 days: 14.4 spends 2% of the budget of 30
// days in an hour, 6 spends 5% in six hours. The next shorter window must
// agree, so that an alert ends soon after its cause.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// Alert says whether an error budget is spent too fast.
type Alert uint8

// The alerts.
const (
	NoAlert  Alert = iota
	SlowBurn       // over six hours and one hour
	FastBurn       // over one hour and five minutes
)

var alertNames = [...]string{"", "slow burn", "fast burn"}

// String returns the alert's name in reports.
func (a Alert) String() string { return alertNames[a] }

// Window is the service level over one window that ends now.
type Window struct {
	Length     time.Duration
	Counts     Counts
	Attainment float64 // 1 if there were no valid requests
	BurnRate   float64 // 1 spends the budget exactly by the end of its period
}

// TargetLevel is the attainment of one target over the longest window.
type TargetLevel struct {
	Target      Target
	Met, Missed uint64
	Attainment  float64
}

// Level is the service level of a rank or row.
type Level struct {
	Windows    [len(Windows)]Window
	Targets    [TargetCount]TargetLevel
	Budget     Counts  // over the budget period
	BudgetLeft float64 // share of the error budget that is left; negative if overspent
	Alert      Alert
}

// RankLevel is the service level of one rank.
type RankLevel struct {
	Rank  fleet.Rank
	Level Level
}

// RowLevel is the service level of one row under one rank. Its six-hour window
// ends with the current hour and starts with a whole one.
type RowLevel struct {
	Key   Key
	Level Level
}

// MoveCount is how often moves of one kind were planned in each window and in
// the budget period.
type MoveCount struct {
	Move    Move
	Windows [len(Windows)]uint64
	Period  uint64
}

// Point is one step of the timeline.
type Point struct {
	Start time.Time
	Ranks [fleet.RankCount]PointLevel
	Moves uint64
}

// PointLevel is a rank within one step of the timeline.
type PointLevel struct {
	Asked, Valid, Errors uint64
	Attainment           float64
	BurnRate             float64
}

// Report is the service level of the fleet at one time.
type Report struct {
	Time      time.Time
	Objective float64
	Sources   int    // incarnations that are counted
	Lost      uint64 // requests that were not counted
	Ranks     [fleet.RankCount]RankLevel
	Rows      []RowLevel
	Floods    []Flood
	Moves     []MoveCount
	Step      time.Duration // of Timeline
	Timeline  []Point       // the longest window, oldest first
}

// Report returns the service level at the given time.
func (t *Total) Report(now time.Time, objective float64) Report {
	r := Report{Time: now, Objective: objective, Sources: len(t.sources), Lost: t.lost, Step: timelineStep}
	for i := range t.ranks {
		r.Ranks[i] = RankLevel{Rank: fleet.Rank(i), Level: level(&t.ranks[i], now, objective, fineBuckets)}
	}
	for _, k := range slices.SortedFunc(maps.Keys(t.rows), compareKeys) {
		r.Rows = append(r.Rows, RowLevel{Key: k, Level: level(t.rows[k], now, objective, coarseBuckets)})
	}
	for _, m := range slices.SortedFunc(maps.Keys(t.moves), compareMoves) {
		r.Moves = append(r.Moves, moveCount(m, t.moves[m], now))
	}
	r.Floods = t.floods(now)
	r.Timeline = t.timeline(now, objective)
	return r
}

// level computes the service level of a series that keeps the given number of
// minutes.
func level(s *Series, now time.Time, objective float64, minutes int) Level {
	var l Level
	for i, length := range Windows {
		c := windowCounts(s, now, length, minutes)
		l.Windows[i] = Window{Length: length, Counts: c, Attainment: c.Attainment(), BurnRate: burnRate(&c, objective)}
	}
	longest := l.Windows[len(Windows)-1].Counts
	for i := range l.Targets {
		met, missed := Target(i).counters()
		l.Targets[i] = TargetLevel{
			Target: Target(i), Met: longest[met], Missed: longest[missed], Attainment: share(longest[met], longest[missed]),
		}
	}
	l.Budget = last(s.Hours, now, time.Hour, int(BudgetPeriod/time.Hour))
	l.BudgetLeft = 1 - burnRate(&l.Budget, objective)
	l.Alert = alert(l.Windows)
	return l
}

// windowCounts sums the minutes of a window, or its whole hours if the series
// keeps fewer minutes.
func windowCounts(s *Series, now time.Time, length time.Duration, minutes int) Counts {
	if n := int(length / time.Minute); n <= minutes {
		return last(s.Minutes, now, time.Minute, n)
	}
	return last(s.Hours, now, time.Hour, int(length/time.Hour))
}

// burnRate returns the error rate as a multiple of the error rate that the
// objective allows.
func burnRate(c *Counts, objective float64) float64 {
	if c.Valid() == 0 {
		return 0
	}
	return float64(c.Errors()) / float64(c.Valid()) / (1 - objective)
}

func alert(w [len(Windows)]Window) Alert {
	switch {
	case w[1].BurnRate >= fastBurn && w[0].BurnRate >= fastBurn:
		return FastBurn
	case w[2].BurnRate >= slowBurn && w[1].BurnRate >= slowBurn:
		return SlowBurn
	default:
		return NoAlert
	}
}

func moveCount(m Move, s *Series, now time.Time) MoveCount {
	c := MoveCount{Move: m}
	for i, length := range Windows {
		sum := windowCounts(s, now, length, fineBuckets)
		c.Windows[i] = sum[Planned]
	}
	sum := last(s.Hours, now, time.Hour, int(BudgetPeriod/time.Hour))
	c.Period = sum[Planned]
	return c
}

// timelineStep is the resolution of the timeline; the shortest window.
const timelineStep = 5 * time.Minute

func (t *Total) timeline(now time.Time, objective float64) []Point {
	steps := int(Windows[len(Windows)-1] / timelineStep)
	points := make([]Point, steps)
	for i := range points {
		end := now.Add(-time.Duration(steps-1-i) * timelineStep)
		p := &points[i]
		p.Start = end.Truncate(time.Minute).Add(time.Minute - timelineStep)
		for rank := range t.ranks {
			c := last(t.ranks[rank].Minutes, end, time.Minute, int(timelineStep/time.Minute))
			p.Ranks[rank] = PointLevel{
				Asked: c[Asked], Valid: c.Valid(), Errors: c.Errors(), Attainment: c.Attainment(), BurnRate: burnRate(&c, objective),
			}
		}
		for _, s := range t.moves {
			c := last(s.Minutes, end, time.Minute, int(timelineStep/time.Minute))
			p.Moves += c[Planned]
		}
	}
	return points
}
