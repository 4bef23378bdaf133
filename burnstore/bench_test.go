package burnstore

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/burn/burncodec"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/gateway"
	"github.com/hyssophaven/hyssophaven/table"
)

// BenchmarkRecord measures the cost of Record for a traffic goroutine while the
// counting goroutine runs.
func BenchmarkRecord(b *testing.B) {
	s := New(Config{Objects: newFakeObjectStore(), Vars: new(expvar.Map).Init()})
	go s.run()
	r := gateway.FinishedRequest{
		Row: "row-1", Rank: fleet.Prompt, TimeToFirstToken: time.Millisecond, Duration: time.Second,
		Targets: table.Targets{FirstToken: time.Second, WholeAnswer: time.Minute},
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Record(r)
	}
	b.ReportMetric(float64(s.dropped.Value())/float64(b.N), "dropped/op")
	_ = s.Stop(b.Context())
}

// BenchmarkCount measures the cost of a request for the counting goroutine.
func BenchmarkCount(b *testing.B) {
	now := time.Now()
	s := burn.NewState(burn.Source{}, time.Hour, now)
	samples := make([]burn.Sample, 1024)
	for i := range samples {
		samples[i] = sampleOf(gateway.FinishedRequest{Row: fmt.Sprint("row-", i%440), Rank: fleet.Rank(i % 3), Duration: time.Second})
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		s.Step(now, burn.Ended{Sample: samples[i%len(samples)]})
		i++
	}
}

// fullSizeDocument returns the counts of one of 420 instances after 25 hours at full
// size: 8,800 requests/s in total over 440 rows with a Zipf distribution.
func fullSizeDocument() burn.Document {
	r := rand.New(rand.NewPCG(1, 2))
	rows := rand.NewZipf(r, 1.1, 8, 439)
	now := time.Unix(1_800_000_000, 0)
	s := burn.NewState(burn.Source{Instance: "entry-1", Incarnation: 1}, time.Hour, now)
	const perMinute = 8800 * 60 / 420
	for range 25 * 60 {
		for range perMinute {
			row := rows.Uint64()
			sample := burn.Sample{Row: fmt.Sprint("row-", row), Rank: fleet.Rank(row % 3), Duration: time.Second}
			sample.Targets[burn.FirstToken] = burn.Measurement{Duration: time.Duration(r.IntN(1000)), Limit: 990}
			s.Step(now, burn.Ended{Sample: sample})
		}
		now = now.Add(time.Minute)
	}
	return s.Document(now)
}

// BenchmarkWriteDocument measures encoding the document of one instance at full
// size.
func BenchmarkWriteDocument(b *testing.B) {
	d := fullSizeDocument()
	var size int
	for b.Loop() {
		data, err := burncodec.EncodeDocument(d)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkReadDocument measures decoding the document of one instance at full size
// and adding it to the total. This part of a report grows with the fleet.
func BenchmarkReadDocument(b *testing.B) {
	d := fullSizeDocument()
	data, err := burncodec.EncodeDocument(d)
	if err != nil {
		b.Fatal(err)
	}
	total := burn.NewTotal()
	incarnation := fleet.Incarnation(0)
	b.ReportAllocs()
	for b.Loop() {
		d, err := burncodec.DecodeDocument(data)
		if err != nil {
			b.Fatal(err)
		}
		incarnation++
		d.Source.Incarnation = incarnation
		total.Add(d)
	}
}

// BenchmarkReport measures building and encoding a report over 440 rows.
func BenchmarkReport(b *testing.B) {
	total := burn.NewTotal()
	d := fullSizeDocument()
	total.Add(d)
	for b.Loop() {
		sum := total.Clone()
		if _, err := burncodec.EncodeReport(sum.Report(d.Updated, burn.DefaultObjective), burncodec.Coverage{}); err != nil {
			b.Fatal(err)
		}
	}
}
