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

// BenchmarkRecord is what a traffic goroutine pays for a request that is
// counted, with the counting goroutine running.
func BenchmarkRecord(b *testing.B) {
	s := New(Config{Objects: newFakeObjects(), Vars: new(expvar.Map).Init()})
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

// BenchmarkCount is what the counting goroutine pays for a request.
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

// fullDocument returns the counts of one instance of 420 after a day at the
// full size: 8,800 requests/s in all over 440 rows, some asked for far more
// often than others.
func fullDocument() burn.Document {
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

// BenchmarkWriteDocument encodes the document of one instance at full size.
func BenchmarkWriteDocument(b *testing.B) {
	d := fullDocument()
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

// BenchmarkReadDocument decodes the document of one instance at full size and
// adds it to a sum, which is the part of a report that grows with the fleet.
func BenchmarkReadDocument(b *testing.B) {
	d := fullDocument()
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

// BenchmarkReport builds a report over 440 rows.
func BenchmarkReport(b *testing.B) {
	total := burn.NewTotal()
	d := fullDocument()
	total.Add(d)
	for b.Loop() {
		sum := total.Clone()
		if _, err := burncodec.EncodeReport(sum.Report(d.Updated, burn.DefaultObjective), burncodec.Coverage{}); err != nil {
			b.Fatal(err)
		}
	}
}
