package burncodec

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Report is the JSON form of a burn report. Attainments and the remaining budget
// are shares of 1.
type Report struct {
	Time      time.Time `json:"time"`
	Objective float64   `json:"objective"`
	// Complete is false if documents of other incarnations could not be read.
	// OthersAsOf is the time at which the counted documents were read.
	Complete        bool           `json:"complete"`
	OthersAsOf      time.Time      `json:"others_as_of"`
	UnreadDocuments int            `json:"unread_documents"`
	Sources         int            `json:"incarnations"`
	Uncounted       uint64         `json:"requests_not_counted"`
	Ranks           []ServiceLevel `json:"ranks"`
	Rows            []ServiceLevel `json:"rows"`
	Floods          []Flood        `json:"floods"`
	Moves           []Move         `json:"moves"`
	Timeline        []Point        `json:"timeline"`
}

// ServiceLevel is the service level of a rank, or of a row and rank.
type ServiceLevel struct {
	Row           string   `json:"row,omitempty"`
	Rank          string   `json:"rank"`
	Alert         string   `json:"alert,omitempty"`
	Windows       []Window `json:"windows"`
	Targets       []Target `json:"targets"`
	PeriodValid   uint64   `json:"period_valid"`
	PeriodErrors  uint64   `json:"period_errors"`
	BudgetLeft    float64  `json:"budget_left"`
	BudgetSeconds float64  `json:"budget_period_seconds"`
}

// Window is the service level over a window that ends at the time of the report.
type Window struct {
	Seconds    float64 `json:"seconds"`
	Asked      uint64  `json:"asked"`
	Good       uint64  `json:"good"`
	Late       uint64  `json:"late"`
	Refused    Refused `json:"refused"`
	Failed     uint64  `json:"failed"`
	Cancelled  uint64  `json:"cancelled"`
	Valid      uint64  `json:"valid"`
	Errors     uint64  `json:"errors"`
	Attainment float64 `json:"attainment"`
	BurnRate   float64 `json:"burn_rate"`
}

// Refused is the number of refusals by class.
type Refused struct {
	Overload    uint64 `json:"overload"`
	Deadline    uint64 `json:"deadline"`
	Limit       uint64 `json:"limit"`
	Unavailable uint64 `json:"unavailable"`
	Caller      uint64 `json:"caller"`
}

// Target is the attainment of one target by the answers of the last six hours.
type Target struct {
	Name       string  `json:"name"`
	Met        uint64  `json:"met"`
	Missed     uint64  `json:"missed"`
	Attainment float64 `json:"attainment"`
}

// Flood describes a flood of one rank and the service of the other ranks in the
// flooded minutes.
type Flood struct {
	Rank            string        `json:"rank"`
	MedianPerMinute uint64        `json:"median_per_minute"`
	PeakPerMinute   uint64        `json:"peak_per_minute"`
	Minutes         int           `json:"minutes"`
	Others          []FloodImpact `json:"others"`
}

// FloodImpact compares the service of a rank in the minutes flooded by another rank
// with its service in the other minutes.
type FloodImpact struct {
	Rank               string  `json:"rank"`
	ValidFlood         uint64  `json:"valid_flood"`
	ValidCalm          uint64  `json:"valid_calm"`
	AttainmentFlood    float64 `json:"attainment_flood"`
	AttainmentCalm     float64 `json:"attainment_calm"`
	GoodPerMinuteFlood float64 `json:"good_per_minute_flood"`
	GoodPerMinuteCalm  float64 `json:"good_per_minute_calm"`
}

// Move is the number of planned model moves of one kind, by window and over the
// budget period.
type Move struct {
	Action  string   `json:"action"`
	Cause   string   `json:"cause"`
	Windows []uint64 `json:"windows"`
	Period  uint64   `json:"period"`
}

// Point is one time step of the timeline.
type Point struct {
	Start   time.Time   `json:"start"`
	Seconds float64     `json:"seconds"`
	Ranks   []RankPoint `json:"ranks"`
	Moves   uint64      `json:"moves"`
}

// RankPoint is the service level of a rank within one time step of the timeline.
type RankPoint struct {
	Rank       string  `json:"rank"`
	Asked      uint64  `json:"asked"`
	Valid      uint64  `json:"valid"`
	Errors     uint64  `json:"errors"`
	Attainment float64 `json:"attainment"`
	BurnRate   float64 `json:"burn_rate"`
}

// Coverage describes which documents a report includes.
type Coverage struct {
	UnreadDocuments int       // number of documents that could not be read
	OthersAsOf      time.Time // when documents of other incarnations were read; zero if never
	Complete        bool
}

// EncodeReport returns the JSON form of the report.
func EncodeReport(r burn.Report, c Coverage) ([]byte, error) {
	w := Report{
		Time: r.Time, Objective: r.Objective, Complete: c.Complete, OthersAsOf: c.OthersAsOf, UnreadDocuments: c.UnreadDocuments,
		Sources: r.Sources, Uncounted: r.Uncounted,
		// Encoded as empty arrays instead of null.
		Rows: []ServiceLevel{}, Floods: []Flood{}, Moves: []Move{},
	}
	for _, l := range r.Ranks {
		w.Ranks = append(w.Ranks, serviceLevelOf("", l.Rank.String(), &l.Level))
	}
	for i := range r.Rows {
		w.Rows = append(w.Rows, serviceLevelOf(r.Rows[i].Key.Row, r.Rows[i].Key.Rank.String(), &r.Rows[i].Level))
	}
	for _, f := range r.Floods {
		w.Floods = append(w.Floods, floodOf(f))
	}
	for _, m := range r.Moves {
		w.Moves = append(w.Moves, Move{Action: m.Move.Action, Cause: m.Move.Cause, Windows: m.Windows[:], Period: m.Period})
	}
	for i := range r.Timeline {
		w.Timeline = append(w.Timeline, pointOf(&r.Timeline[i], r.TimelineStep))
	}
	return json.Marshal(w)
}

// DecodeReport decodes the JSON form of a report.
func DecodeReport(data []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("read burn report: %w", err)
	}
	return r, nil
}

func serviceLevelOf(row, rank string, l *burn.ServiceLevel) ServiceLevel {
	out := ServiceLevel{
		Row: row, Rank: rank, Alert: l.Alert.String(), PeriodValid: l.Budget.Valid(), PeriodErrors: l.Budget.Errors(),
		BudgetLeft: l.BudgetLeft, BudgetSeconds: burn.BudgetPeriod.Seconds(),
	}
	for i := range l.Windows {
		out.Windows = append(out.Windows, windowOf(&l.Windows[i]))
	}
	for _, t := range l.Targets {
		out.Targets = append(out.Targets, Target{Name: t.Target.String(), Met: t.Met, Missed: t.Missed, Attainment: t.Attainment})
	}
	return out
}

func windowOf(w *burn.Window) Window {
	c := &w.Counts
	return Window{
		Seconds: w.Length.Seconds(), Asked: c[burn.Received], Good: c[burn.Good], Late: c[burn.Late],
		Refused: Refused{
			Overload: c[burn.RefusedOverload], Deadline: c[burn.RefusedDeadline], Limit: c[burn.RefusedLimit],
			Unavailable: c[burn.RefusedUnavailable], Caller: c[burn.RefusedCaller],
		},
		Failed: c[burn.Failed], Cancelled: c[burn.Cancelled], Valid: c.Valid(), Errors: c.Errors(),
		Attainment: w.Attainment, BurnRate: w.BurnRate,
	}
}

func floodOf(f burn.Flood) Flood {
	out := Flood{Rank: f.Rank.String(), MedianPerMinute: f.Median, PeakPerMinute: f.Peak, Minutes: f.Minutes}
	for _, k := range f.Others {
		out.Others = append(out.Others, FloodImpact{
			Rank: k.Rank.String(), ValidFlood: k.ValidFlood, ValidCalm: k.ValidCalm,
			AttainmentFlood: k.AttainmentFlood, AttainmentCalm: k.AttainmentCalm,
			GoodPerMinuteFlood: k.GoodPerMinuteFlood, GoodPerMinuteCalm: k.GoodPerMinuteCalm,
		})
	}
	return out
}

func pointOf(p *burn.Point, step time.Duration) Point {
	out := Point{Start: p.Start, Seconds: step.Seconds(), Moves: p.Moves}
	for i, l := range p.Ranks {
		out.Ranks = append(out.Ranks, RankPoint{
			Rank: rankName(i), Asked: l.Asked, Valid: l.Valid, Errors: l.Errors, Attainment: l.Attainment, BurnRate: l.BurnRate,
		})
	}
	return out
}

func rankName(i int) string { return fleet.Rank(i).String() }
