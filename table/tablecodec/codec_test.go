package tablecodec

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

func sampleRows() []table.Row {
	return []table.Row{
		{Name: "booking", Kind: table.KindService, Rank: fleet.Urgent, Weight: 2, Pool: "booking", NotIdempotent: []string{"POST /bookings"}, RequireIdempotencyKey: true},
		{Name: "m", Kind: table.KindModel, Rank: fleet.Prompt, Weight: 1, Pool: "p", MemoryMB: 1000, Version: "1",
			Limits: table.Limits{InFlight: 3, PerSecond: 1.5}, Targets: table.Targets{FirstToken: time.Second}},
	}
}

// Guards against columns that a file or the store loses or changes.
func TestRowsRoundTripThroughFileAndJSON(t *testing.T) {
	is := is.New(t)
	data, err := EncodeFile(sampleRows())
	is.NoErr(err)
	var problems finding.List
	is.Equal(DecodeFile("t.toml", data, &problems), sampleRows())
	is.NoErr(problems.Err())
	data, err = EncodeSnapshot(table.NewSnapshot(7, sampleRows()))
	is.NoErr(err)
	s, err := DecodeSnapshot(data)
	is.NoErr(err)
	is.Equal(s.Rows(), sampleRows())
}

// Guards against problems of a table file that are not reported, or not with
// their line and column.
func TestDecodeFileReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	const text = `[[row]]
name = "m"
kind = "modl"
weight = -1
colour = "red"

[[row]]
name = "a"
kind = "adapter"
base = "nowhere"
memory_mb = 10
`
	var problems finding.List
	DecodeFile("t.toml", []byte(text), &problems)
	var got [][2]any
	for _, f := range problems.All() {
		got = append(got, [2]any{f.Line, f.Key})
	}
	is.Equal(got, [][2]any{{1, "row.memory_mb"}, {1, "row.pool"}, {3, "row.kind"}, {4, "row.weight"}, {5, "row.colour"}, {10, "row.base"}})
}

// Guards against column texts that are parsed as another type or set another
// column.
func TestSetColumn(t *testing.T) {
	is := is.New(t)
	r := sampleRows()[0]
	for _, c := range [][2]string{{"rank", "patient"}, {"max_in_flight", "12"}, {"whole_answer_target", "30s"}, {"not_idempotent", "POST /a, POST /b"}, {"version", "3"}} {
		var err error
		r, err = SetColumn(r, c[0], c[1])
		is.NoErr(err)
	}
	is.Equal(r.Rank, fleet.Patient)
	is.Equal(r.Limits.InFlight, 12)
	is.Equal(r.Targets.WholeAnswer, 30*time.Second)
	is.Equal(r.NotIdempotent, []string{"POST /a", "POST /b"})
	is.Equal(r.Version, "3")
	for _, c := range [][2]string{{"colour", "red"}, {"weight", "heavy"}, {"rank", "x\nweight = 3"}} {
		_, err := SetColumn(r, c[0], c[1])
		is.True(err != nil)
	}
}

// Guards against input that makes a decoder panic.
func FuzzDecode(f *testing.F) {
	file, _ := EncodeFile(sampleRows())
	snapshot, _ := EncodeSnapshot(table.NewSnapshot(1, sampleRows()))
	f.Add(file)
	f.Add(snapshot)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var problems finding.List
		DecodeFile("f", data, &problems)
		_, _ = DecodeSnapshot(data)
		_, _ = DecodeRow(data)
	})
}
