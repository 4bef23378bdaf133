package burnpage

import (
	"bytes"
	"encoding/xml"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/burn/burncodec"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// sampleReport returns the report of six hours with a flood of patient requests,
// during which a few requests of the other ranks are refused too.
func sampleReport(t *testing.T) burncodec.Report {
	t.Helper()
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	s := burn.NewState(burn.Source{Instance: "entry-1", Incarnation: 1}, burn.DefaultWriteInterval, now)
	perMinute := [fleet.RankCount]int{20, 8, 12}
	for minute := range 360 {
		flood := minute >= 240 && minute < 270
		for _, rank := range fleet.Ranks() {
			n := perMinute[rank]
			if flood && rank == fleet.Patient {
				n *= 8
			}
			for range n {
				sample := burn.Sample{Row: "<work> of " + rank.String(), Rank: rank, Duration: time.Second}
				sample.Targets[burn.FirstToken] = burn.Measurement{Duration: time.Duration(r.IntN(505)) * time.Millisecond, Limit: 500 * time.Millisecond}
				if flood && (rank == fleet.Patient && r.IntN(2) == 0 || r.IntN(30) == 0) {
					sample.Result, sample.Class = burn.ResultRefused, burn.ClassOverload
				}
				s.Step(now, burn.Ended{Sample: sample})
			}
		}
		if flood || minute%50 == 0 {
			s.Step(now, burn.Moved{Move: burn.Move{Action: "add", Cause: "demand"}})
		}
		now = now.Add(time.Minute)
	}
	now = now.Add(-time.Second)
	total := burn.NewTotal()
	total.Add(s.Document(now))
	data, err := burncodec.EncodeReport(total.Report(now, burn.DefaultObjective), burncodec.Coverage{Complete: true, OthersAsOf: now})
	is.NoErr(err)
	report, err := burncodec.DecodeReport(data)
	is.NoErr(err)
	return report
}

// emptyReport returns the report of a fleet that has received no requests.
func emptyReport(t *testing.T) burncodec.Report {
	t.Helper()
	data, err := burncodec.EncodeReport(burn.NewTotal().Report(time.Unix(1e9, 0), burn.DefaultObjective), burncodec.Coverage{})
	is.New(t).NoErr(err)
	report, err := burncodec.DecodeReport(data)
	is.New(t).NoErr(err)
	return report
}

// Guards against a page that needs scripts or the network, against missing or
// malformed plots, and against row names that are not escaped.
func TestPageIsSelfContained(t *testing.T) {
	for name, report := range map[string]burncodec.Report{"six hours": sampleReport(t), "empty": emptyReport(t)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.NoErr(WriteHTML(&out, report))
			text := out.String()
			if path := os.Getenv("BURN_PAGE"); path != "" && name == "six hours" {
				is.NoErr(os.WriteFile(path, out.Bytes(), 0o600))
			}
			is.True(strings.HasSuffix(text, "</html>\n"))
			is.True(!strings.Contains(text, "<work>"))
			is.True(!strings.Contains(text, "<?xml"))
			is.True(!regexp.MustCompile(`(?i)<script|<link|<img|@import|url\(|src=|href="?http`).MatchString(text))
			plots := regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(text, -1)
			is.Equal(len(plots), 4)
			for _, p := range plots {
				is.NoErr(xml.Unmarshal([]byte(p), new(struct{})))
				is.True(!strings.Contains(p, "NaN"))
			}
		})
	}
}

// Guards against tables that omit a rank, a row, a flood or a move.
func TestTextShowsEveryPart(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(WriteText(&out, sampleReport(t)))
	text := out.String()
	for _, want := range []string{"urgent", "prompt", "patient", "<work> of urgent", "flood of rank patient: 30 min", "demand", "BUDGET LEFT 24h", "BURN 6h"} {
		is.True(strings.Contains(text, want))
	}
	out.Reset()
	is.NoErr(WriteText(&out, emptyReport(t)))
	is.True(strings.Contains(out.String(), "only the counts of the answering instance"))
	is.True(!strings.Contains(out.String(), "NaN"))
}
