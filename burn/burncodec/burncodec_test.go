package burncodec

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Guards against documents that decode to different counts than were encoded.
func TestDocumentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
		s := burn.NewState(burn.Source{Instance: "entry-1", Incarnation: 7}, burn.DefaultWriteInterval, now)
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Second)
			s.Step(now, burn.Ended{Sample: burn.Sample{
				Row: rapid.String().Draw(t, "row"), Rank: fleet.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
				Result: burn.Result(rapid.IntRange(0, 3).Draw(t, "result")), Duration: time.Second,
			}})
			s.Step(now, burn.Moved{Move: burn.Move{Action: "add", Cause: rapid.SampledFrom([]string{"demand", "room"}).Draw(t, "cause")}})
			s.Step(now, burn.Uncounted{Samples: 2})
		}
		want := s.Document(now)
		data, err := EncodeDocument(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeDocument(data)
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got\n%v\nwant\n%v", got, want)
		}
	})
}

// Guards against members of a report that are lost in encoding or decoding.
func TestReportRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	s := burn.NewState(burn.Source{Instance: "entry-1"}, burn.DefaultWriteInterval, now)
	for range 100 {
		s.Step(now, burn.Ended{Sample: burn.Sample{Row: "a", Rank: fleet.Prompt}})
	}
	s.Step(now, burn.Ended{Sample: burn.Sample{Row: "a", Rank: fleet.Prompt, Result: burn.ResultRefused, Class: burn.ClassLimit}})
	total := burn.NewTotal()
	total.Add(s.Document(now))
	data, err := EncodeReport(total.Report(now, burn.DefaultObjective), Coverage{UnreadDocuments: 2, OthersAsOf: now, Complete: true})
	is.NoErr(err)
	r, err := DecodeReport(data)
	is.NoErr(err)
	is.True(r.Complete)
	is.Equal(r.UnreadDocuments, 2)
	is.Equal(len(r.Ranks), fleet.RankCount)
	is.Equal(r.Rows[0].Row, "a")
	w := r.Rows[0].Windows[2]
	is.Equal(w.Seconds, 6*3600.0)
	is.Equal(w.Refused, Refused{Limit: 1})
	is.Equal(w.Good, uint64(100))
	is.True(!reflect.DeepEqual(r.Timeline[len(r.Timeline)-1].Ranks[1], RankPoint{Rank: "prompt"}))
}

// Guards against malformed documents that cause a panic, or that decode without an
// error to counts from which no report can be computed.
func FuzzDecodeDocument(f *testing.F) {
	s := burn.NewState(burn.Source{Instance: "entry-1"}, burn.DefaultWriteInterval, time.Unix(0, 0))
	s.Step(time.Unix(0, 0), burn.Ended{Sample: burn.Sample{Row: "a"}})
	data, err := EncodeDocument(s.Document(time.Unix(0, 0)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDocument(data)
		if err != nil {
			return
		}
		total := burn.NewTotal()
		total.Add(d)
		total.Report(time.Unix(0, 0), burn.DefaultObjective)
	})
}
