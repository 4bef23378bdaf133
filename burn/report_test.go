package burn

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// clockedState is a state and the time at which its next events happen.
type clockedState struct {
	state *State
	now   time.Time
}

func newClockedState() *clockedState {
	return &clockedState{state: NewState(source(0), DefaultWriteInterval, noon), now: noon}
}

func (c *clockedState) add(n int, s Sample) {
	for range n {
		c.state.Step(c.now, Ended{Sample: s})
	}
}

func (c *clockedState) report() Report {
	return documentSet{source(0): c.state.Document(c.now)}.total().Report(c.now, DefaultObjective)
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against refusals of invalid requests and cancelled requests that count
// as errors, and against other refusals and failures that do not.
func TestErrorsByOutcome(t *testing.T) {
	row := Sample{Row: "a", Rank: fleet.Prompt}
	with := func(r Result, class RefusalClass) Sample {
		s := row
		s.Result, s.Class = r, class
		return s
	}
	late := row
	late.Targets[FirstToken] = Measurement{Duration: 2 * time.Second, Limit: time.Second}
	for name, c := range map[string]struct {
		sample        Sample
		valid, errors uint64
	}{
		"good":                {row, 1, 0},
		"late":                {late, 1, 1},
		"refused overload":    {with(ResultRefused, ClassOverload), 1, 1},
		"refused deadline":    {with(ResultRefused, ClassDeadline), 1, 1},
		"refused limit":       {with(ResultRefused, ClassLimit), 1, 1},
		"refused unavailable": {with(ResultRefused, ClassUnavailable), 1, 1},
		"refused caller":      {with(ResultRefused, ClassCaller), 0, 0},
		"failed":              {with(ResultFailed, 0), 1, 1},
		"cancelled":           {with(ResultCancelled, 0), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			counts := newClockedState()
			counts.add(1, c.sample)
			w := counts.report().Ranks[fleet.Prompt].Level.Windows[0].Counts
			is.Equal(w[Received], uint64(1))
			is.Equal(w.Valid(), c.valid)
			is.Equal(w.Errors(), c.errors)
		})
	}
}

// Guards against answers that are counted under the wrong target, or under a
// target that their row does not set.
func TestTargetsAreCountedSeparately(t *testing.T) {
	is := is.New(t)
	c := newClockedState()
	c.add(3, Sample{Row: "a", Targets: [TargetCount]Measurement{
		FirstToken:    {Duration: time.Second, Limit: 2 * time.Second},
		BetweenTokens: {Duration: 30 * time.Millisecond, Limit: 20 * time.Millisecond},
		WholeAnswer:   {Duration: time.Minute},
	}})
	l := c.report().Rows[0].Level
	is.Equal(l.Targets[FirstToken].Met, uint64(3))
	is.Equal(l.Targets[BetweenTokens].Missed, uint64(3))
	is.Equal(l.Targets[WholeAnswer].Met+l.Targets[WholeAnswer].Missed, uint64(0))
	is.True(almostEqual(l.Windows[0].Attainment, 0)) // one missed target makes an answer late
}

// Guards against burn rates and budgets that are computed over the wrong
// window or with the wrong sign.
func TestBurnRateAndBudget(t *testing.T) {
	is := is.New(t)
	c := newClockedState()
	good := Sample{Row: "a"}
	bad := Sample{Row: "a", Result: ResultFailed}
	c.add(900, good)
	c.now = c.now.Add(2 * time.Hour)
	c.add(80, good)
	c.add(20, bad)
	r := c.report()
	l := r.Ranks[fleet.Urgent].Level
	is.True(almostEqual(l.Windows[0].BurnRate, 20)) // 20 of 100 in five minutes
	is.True(almostEqual(l.Windows[1].BurnRate, 20))
	is.True(almostEqual(l.Windows[2].BurnRate, 2)) // 20 of 1,000 in six hours
	is.True(almostEqual(l.BudgetLeft, -1))
	is.Equal(l.Alert, FastBurn)
	is.True(almostEqual(r.Rows[0].Level.Windows[2].BurnRate, 2)) // rows use hours for this window
	c.now = c.now.Add(10 * time.Minute)
	is.Equal(c.report().Ranks[fleet.Urgent].Level.Alert, NoAlert) // no errors in the last five minutes
	is.Equal(len(r.Timeline), 72)
	is.Equal(r.Timeline[71].Ranks[fleet.Urgent].Errors, uint64(20))
	var asked uint64
	for _, p := range r.Timeline {
		asked += p.Ranks[fleet.Urgent].Asked
	}
	is.Equal(asked, uint64(1000)) // every request is in one step
}

// Guards against moves that are counted as requests or under the wrong cause.
func TestMovesAreCountedByCause(t *testing.T) {
	is := is.New(t)
	c := newClockedState()
	c.state.Step(c.now, Moved{Move: Move{Action: "add", Cause: "demand"}})
	c.now = c.now.Add(30 * time.Minute)
	c.state.Step(c.now, Moved{Move: Move{Action: "add", Cause: "demand"}})
	c.state.Step(c.now, Moved{Move: Move{Action: "remove", Cause: "room"}})
	r := c.report()
	is.Equal(r.Moves, []MoveCount{
		{Move: Move{Action: "add", Cause: "demand"}, Windows: [3]uint64{1, 2, 2}, Period: 2},
		{Move: Move{Action: "remove", Cause: "room"}, Windows: [3]uint64{1, 1, 1}, Period: 1},
	})
	is.Equal(r.Ranks[fleet.Urgent].Level.Budget, Counts{})
}

// Guards against floods that are not detected or are attributed to the wrong rank,
// and against service of the other ranks that is counted in the wrong minutes.
func TestFloodComparesOtherRanks(t *testing.T) {
	is := is.New(t)
	c := newClockedState()
	urgent := Sample{Row: "u", Rank: fleet.Urgent}
	refused := Sample{Row: "p", Rank: fleet.Patient, Result: ResultRefused}
	for minute := range 60 {
		c.add(10, urgent)
		if minute >= 40 && minute < 50 {
			c.add(1, Sample{Row: "u", Rank: fleet.Urgent, Result: ResultFailed})
			c.add(200, refused)
		}
		c.add(30, Sample{Row: "p", Rank: fleet.Patient})
		c.now = c.now.Add(time.Minute)
	}
	floods := c.report().Floods
	is.Equal(len(floods), 1)
	f := floods[0]
	is.Equal(f.Rank, fleet.Patient)
	is.Equal(f.Minutes, 10)
	is.Equal(f.Median, uint64(30))
	is.Equal(f.Peak, uint64(230))
	is.Equal(len(f.Others), 2)
	is.Equal(f.Others[0].Rank, fleet.Urgent)
	is.True(almostEqual(f.Others[0].AttainmentFlood, 100.0/110))
	is.True(almostEqual(f.Others[0].AttainmentCalm, 1))
	is.True(almostEqual(f.Others[0].GoodPerMinuteFlood, 10))
}
