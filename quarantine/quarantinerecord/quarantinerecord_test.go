package quarantinerecord

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// Guards against fields lost between a commit and the next read.
func TestRecordRoundTripThroughStore(t *testing.T) {
	is := is.New(t)
	r := quarantine.Record{
		Losses: []quarantine.Loss{{Endpoint: "e1", BootID: "b1", Attempt: 1 << 63}},
		Until:  time.Unix(1_800_000_000, 0),
		Trial:  &quarantine.Trial{Holder: "i1", Incarnation: 4, Attempt: 5, Endpoint: "e2", BootID: "b2", Running: true},
	}
	txn, err := Txn(quarantine.CommitRecord{Fingerprint: 0xabc, IfVersion: 3, Record: r})
	is.NoErr(err)
	is.Equal(txn.Conditions, []backing.Condition{{Key: "quarantine/0000000000000abc", Version: 3}})
	ev, err := Event(backing.Record{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: 4})
	is.NoErr(err)
	is.Equal(ev, quarantine.RecordRead{Fingerprint: 0xabc, OK: true, Record: r, Version: 4})
}

// Guards against damaged records that are read as empty ones.
func TestEventRejectsDamagedRecords(t *testing.T) {
	is := is.New(t)
	for _, rec := range []backing.Record{
		{Key: "quarantine/xyz", Value: []byte("{}")}, {Key: "lease/1", Value: []byte("{}")}, {Key: "quarantine/1", Value: []byte("{")},
	} {
		_, err := Event(rec)
		is.True(err != nil)
	}
}

// Guards against panics and against records that change when re-encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"losses":[{"endpoint":"e1","boot":"b1"}],"until":1800000000,"trial":{"holder":"i1","incarnation":1,"attempt":2,"endpoint":"e2","boot":"b2"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		value, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(value); err != nil || !reflect.DeepEqual(again, r) {
			t.Fatalf("%+v became %+v, %v", r, again, err)
		}
	})
}
