package ledgerrecord

import (
	"reflect"
	"testing"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/matryer/is"
)

var sample = ledger.Record{
	Replica: "r1", Holder: ledger.Sender{Instance: "i1", Incarnation: 7, Epoch: 3}, Write: 9,
	HighestToken: fleet.Token{Epoch: 3, Sequence: 4}, BootID: "b1",
	Entries: []ledger.Entry{{
		Name: "adapter", Base: "model", Version: "2", MemoryMB: 10, State: ledger.Settling, Freed: true,
		LoadToken: fleet.Token{Epoch: 2, Sequence: 1}, UnloadToken: fleet.Token{Epoch: 3, Sequence: 4},
		LoadSenders: []ledger.Sender{{}}, UnloadSenders: []ledger.Sender{{Instance: "i1", Incarnation: 7, Epoch: 3}},
	}},
}

// Guards against fields that a successor needs and that encoding drops.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := Encode(sample)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, sample)
}

// Guards against records that would be decoded with less reserved memory than
// they describe.
func TestDecodeRefuses(t *testing.T) {
	for _, data := range []string{
		``, `{`, `[]`, `{"replica":"r"} {}`, `{"replica":"r","unknown":1}`,
		`{"entries":[{"name":"a","version":"1","memory_mb":1,"state":"gone"}]}`,
		`{"entries":[{"name":"a","version":"1","memory_mb":-1,"state":"ready"}]}`,
		`{"entries":[{"name":"a","version":"1","memory_mb":1,"state":"ready","freed":true}]}`,
		`{"entries":[{"name":"a","version":"1","state":"ready"},{"name":"a","version":"1","state":"ready"}]}`,
	} {
		if _, err := Decode([]byte(data)); err == nil {
			t.Errorf("accepted %s", data)
		}
	}
}

// Guards against input that makes Decode panic, and against records that change
// when they are encoded again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(sample)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"replica":"r","entries":[]}`))
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
