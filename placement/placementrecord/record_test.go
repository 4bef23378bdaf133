package placementrecord

import (
	"reflect"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/placement"
	"github.com/matryer/is"
)

var sample = placement.StoredPlan{Revision: 4, Items: []placement.StoredItem{
	{Replica: "r1", Name: "m", Version: "1", MemoryMB: 20, Age: time.Minute},
	{Replica: "r1", Name: "a", Base: "m", Version: "2", MemoryMB: 1, Age: time.Second},
	{Replica: "r2", Name: "m", Version: "1", MemoryMB: 20},
}, Empty: []fleet.EndpointID{"r3"}}

// Guards against a planner that restores a plan other than the one stored.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := Encode(sample)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, sample)
}

// Guards against input that makes the decoder panic or that changes when it is
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(sample)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"revision":1,"replicas":[{"id":"r","items":[{"name":"m","age_s":-1}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(first)
		if err != nil {
			return
		}
		second, err := Decode(again)
		if err != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("decoded %+v, then %+v (%v)", first, second, err)
		}
	})
}
