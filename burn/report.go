package burn

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// DefaultObjective is the share of valid requests that should be good. It applies
// to rows without an objective of their own.
const DefaultObjective = 0.99

// Windows are the lengths of the windows of a report, shortest first.
var Windows = [3]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// The burn rates that raise an alert for a rank or row. They are the usual ones
// for objectives over 30 days: at 14.4, one hour spends 2% of the budget of 30
// days; at 6, six hours spend 5%. The next shorter window must exceed the same
// rate, so that an alert ends soon after its cause.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// Alert is the alert raised by the burn rates of a rank or row.
type Alert uint8

const (
	NoAlert  Alert = iota
	SlowBurn       // burn rate of six hours and of one hour at least slowBurn
	FastBurn       // burn rate of one hour and of five minutes at least fastBurn
)

var alertNames = [...]string{"", "slow burn", "fast burn"}

// String returns the name of the alert as reports show it.
func (a Alert) String() string { return alertNames[a] }

// Window is the service level over a window that ends at the time of the report.
type Window struct {
	Length     time.Duration
	Counts     Counts
	Attainment float64 // 1 if there were no valid requests
	BurnRate   float64 // 1 spends exactly the whole budget over its period
}

// TargetAttainment is the attainment of one target over the longest window.
type TargetAttainment struct {
	Target      Target
	Met, Missed uint64
	Attainment  float64
}

// ServiceLevel is the service level of a rank or row.
type ServiceLevel struct {
	Windows    [len(Windows)]Window
	Targets    [TargetCount]TargetAttainment
	Budget     Counts  // counts of the budget period
	BudgetLeft float64 // remaining share of the error budget; negative if overspent
	Alert      Alert
}

// RankLevel is the service level of one rank.
type RankLevel struct {
	Rank  fleet.Rank
	Level ServiceLevel
}

// RowLevel is the service level of one row and rank. Its six-hour window consists
// of the current hour and the five hours before it.
type RowLevel struct {
	Key   Key
	Level ServiceLevel
}

// MoveCount is the number of planned moves of one kind in each window and in the
// budget period.
type MoveCount struct {
	Move    Move
	Windows [len(Windows)]uint64
	Period  uint64
}

// Point is one time step of the timeline.
type Point struct {
	Start time.Time
	Ranks [fleet.RankCount]RankPoint
	Moves uint64
}

// RankPoint is the service level of a rank within one time step of the timeline.
type RankPoint struct {
	Asked, Valid, Errors uint64
	Attainment           float64
	BurnRate             float64
}

// Report is the service level of the fleet at one time.
type Report struct {
	Time         time.Time
	Objective    float64
	Sources      int    // number of incarnations in the sum
	Uncounted    uint64 // requests that could not be counted
	Ranks        [fleet.RankCount]RankLevel
	Rows         []RowLevel
	Floods       []Flood
	Moves        []MoveCount
	TimelineStep time.Duration // time between points of Timeline
	Timeline     []Point       // covers the longest window, oldest point first
}

// Report computes the service levels at the given time against the objective.
func (t *Total) Report(now time.Time, objective float64) Report {
	r := Report{Time: now, Objective: objective, Sources: len(t.sources), Uncounted: t.uncounted, TimelineStep: timelineStep}
	for i := range t.ranks {
		r.Ranks[i] = RankLevel{Rank: fleet.Rank(i), Level: serviceLevelOf(&t.ranks[i], now, objective, rankMinuteBuckets)}
	}
	for _, k := range slices.SortedFunc(maps.Keys(t.rows), compareKeys) {
		r.Rows = append(r.Rows, RowLevel{Key: k, Level: serviceLevelOf(t.rows[k], now, objective, rowMinuteBuckets)})
	}
	for _, m := range slices.SortedFunc(maps.Keys(t.moves), compareMoves) {
		r.Moves = append(r.Moves, moveCount(m, t.moves[m], now))
	}
	r.Floods = t.detectFloods(now)
	r.Timeline = t.timeline(now, objective)
	return r
}

// serviceLevelOf computes the service level of a series that keeps the given number
// of one-minute buckets.
func serviceLevelOf(s *Series, now time.Time, objective float64, minutes int) ServiceLevel {
	var l ServiceLevel
	for i, length := range Windows {
		c := windowCounts(s, now, length, minutes)
		l.Windows[i] = Window{Length: length, Counts: c, Attainment: c.Attainment(), BurnRate: burnRate(&c, objective)}
	}
	longest := l.Windows[len(Windows)-1].Counts
	for i := range l.Targets {
		met, missed := Target(i).counters()
		l.Targets[i] = TargetAttainment{
			Target: Target(i), Met: longest[met], Missed: longest[missed], Attainment: goodShare(longest[met], longest[missed]),
		}
	}
	l.Budget = sumNewest(s.Hours, now, time.Hour, int(BudgetPeriod/time.Hour))
	l.BudgetLeft = 1 - burnRate(&l.Budget, objective)
	l.Alert = alertFor(l.Windows)
	return l
}

// windowCounts returns the counts of a window. It sums one-minute buckets if the
// series keeps enough of them, and hourly buckets otherwise.
func windowCounts(s *Series, now time.Time, length time.Duration, minutes int) Counts {
	if n := int(length / time.Minute); n <= minutes {
		return sumNewest(s.Minutes, now, time.Minute, n)
	}
	return sumNewest(s.Hours, now, time.Hour, int(length/time.Hour))
}

// burnRate returns the error rate divided by the error rate that the objective
// allows, or 0 without valid requests.
func burnRate(c *Counts, objective float64) float64 {
	if c.Valid() == 0 {
		return 0
	}
	return float64(c.Errors()) / float64(c.Valid()) / (1 - objective)
}

// alertFor returns the most severe alert raised by the burn rates of the windows.
func alertFor(w [len(Windows)]Window) Alert {
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
		sum := windowCounts(s, now, length, rankMinuteBuckets)
		c.Windows[i] = sum[MovesPlanned]
	}
	sum := sumNewest(s.Hours, now, time.Hour, int(BudgetPeriod/time.Hour))
	c.Period = sum[MovesPlanned]
	return c
}

// timelineStep is the time between points of the timeline. It equals the shortest
// window.
const timelineStep = 5 * time.Minute

// timeline returns the points of the longest window, oldest first.
func (t *Total) timeline(now time.Time, objective float64) []Point {
	steps := int(Windows[len(Windows)-1] / timelineStep)
	points := make([]Point, steps)
	for i := range points {
		end := now.Add(-time.Duration(steps-1-i) * timelineStep)
		p := &points[i]
		p.Start = end.Truncate(time.Minute).Add(time.Minute - timelineStep)
		for rank := range t.ranks {
			c := sumNewest(t.ranks[rank].Minutes, end, time.Minute, int(timelineStep/time.Minute))
			p.Ranks[rank] = RankPoint{
				Asked: c[Received], Valid: c.Valid(), Errors: c.Errors(), Attainment: c.Attainment(), BurnRate: burnRate(&c, objective),
			}
		}
		for _, s := range t.moves {
			c := sumNewest(s.Minutes, end, time.Minute, int(timelineStep/time.Minute))
			p.Moves += c[MovesPlanned]
		}
	}
	return points
}
