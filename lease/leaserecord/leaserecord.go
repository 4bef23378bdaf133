// Package leaserecord encodes and decodes lease records as JSON for the platform's
// table service, and converts the actions of package lease to store queries and
// transactions.
package leaserecord

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
)

// Prefix is the prefix of the keys of all lease records.
const Prefix = "lease/"

// Key returns the key of a shard's record.
func Key(s lease.Shard) string { return Prefix + string(s) }

type wire struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Attempt     uint64 `json:"attempt"`
	Released    bool   `json:"released,omitempty"`
	Era         uint64 `json:"era,omitempty"`
}

// Encode returns the record as JSON.
func Encode(r lease.Record) ([]byte, error) {
	return json.Marshal(wire{string(r.Holder), uint64(r.Incarnation), r.Epoch, r.Attempt, r.Released, r.Era})
}

// Decode parses a stored record. It rejects records without an epoch.
func Decode(value []byte) (lease.Record, error) {
	var w wire
	if err := json.Unmarshal(value, &w); err != nil {
		return lease.Record{}, fmt.Errorf("decode lease record: %w", err)
	}
	if w.Epoch == 0 {
		return lease.Record{}, fmt.Errorf("decode lease record: epoch is 0")
	}
	return lease.Record{
		Holder: fleet.InstanceID(w.Holder), Incarnation: fleet.Incarnation(w.Incarnation),
		Epoch: w.Epoch, Attempt: w.Attempt, Released: w.Released, Era: w.Era,
	}, nil
}

// ReadQuery returns the store query for a read.
func ReadQuery(r lease.Read) backing.Query {
	keys := make([]string, len(r.Shards))
	for i, s := range r.Shards {
		keys[i] = Key(s)
	}
	return backing.Query{Keys: keys}
}

// DecodeRecords decodes records read from the store. A record that cannot be decoded
// fails the whole read: if it were treated as missing, this instance would acquire
// a lease that another instance holds.
func DecodeRecords(records []backing.Record) ([]lease.VersionedRecord, error) {
	out := make([]lease.VersionedRecord, 0, len(records))
	for _, rec := range records {
		shard, ok := strings.CutPrefix(rec.Key, Prefix)
		if !ok {
			return nil, fmt.Errorf("record %q is not a lease record", rec.Key)
		}
		r, err := Decode(rec.Value)
		if err != nil {
			return nil, fmt.Errorf("record %q: %w", rec.Key, err)
		}
		out = append(out, lease.VersionedRecord{Shard: lease.Shard(shard), Record: r, Version: rec.Version})
	}
	return out, nil
}

// EncodeCommit returns the store transaction for a commit.
func EncodeCommit(c lease.Commit) (backing.Txn, error) {
	var txn backing.Txn
	for _, w := range c.Writes {
		value, err := Encode(w.Record)
		if err != nil {
			return backing.Txn{}, fmt.Errorf("encode lease record of %q: %w", w.Shard, err)
		}
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: Key(w.Shard), Version: w.IfVersion})
		txn.Writes = append(txn.Writes, backing.Write{Key: Key(w.Shard), Value: value})
	}
	return txn, nil
}
