package leaserecord

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/lease"
)

// Guards against record fields that are lost between a commit and the next read.
func TestTransactionAndReadKeepTheRecord(t *testing.T) {
	is := is.New(t)
	r := lease.Record{Holder: "i01", Incarnation: 1 << 60, Epoch: 7, Attempt: 9, Released: true}
	txn, err := EncodeCommit(lease.Commit{Writes: []lease.Write{{Shard: "plan/language-models", Record: r, IfVersion: 3}}})
	is.NoErr(err)
	is.Equal(txn.Conditions, []backing.Condition{{Key: "lease/plan/language-models", Version: 3}})
	is.Equal(ReadQuery(lease.Read{Shards: []lease.Shard{"plan/language-models"}}).Keys, []string{txn.Writes[0].Key})
	got, err := DecodeRecords([]backing.Record{{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: 4}})
	is.NoErr(err)
	is.Equal(got, []lease.VersionedRecord{{Shard: "plan/language-models", Record: r, Version: 4}})
}

// Guards against a corrupt record that is treated as missing.
func TestDamagedRecordFailsTheRead(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"", "{", "{}", `{"epoch":-1}`} {
		_, err := DecodeRecords([]backing.Record{{Key: "lease/shard/1", Value: []byte(value), Version: 1}})
		is.True(err != nil)
	}
}

// Guards against input that makes Decode panic, and against records that change
// when they are encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"holder":"i01","incarnation":3,"epoch":2,"attempt":5}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		value, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(value); err != nil || again != r {
			t.Fatalf("%+v became %+v, %v", r, again, err)
		}
	})
}
