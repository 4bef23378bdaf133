// Package quarantinerecord encodes the records of package quarantine for the
// platform's table service and converts its commits to store transactions.
package quarantinerecord

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// Prefix is the key prefix of all quarantine records.
const Prefix = "quarantine/"

// Key returns the record key of a fingerprint.
func Key(f quarantine.Fingerprint) string {
	return fmt.Sprintf("%s%016x", Prefix, uint64(f))
}

// ParseKey returns the fingerprint in a record key.
func ParseKey(key string) (quarantine.Fingerprint, error) {
	hex, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return 0, fmt.Errorf("key %q is not a quarantine key", key)
	}
	f, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("key %q: %w", key, err)
	}
	return quarantine.Fingerprint(f), nil
}

type wireLoss struct {
	Endpoint string `json:"endpoint"`
	BootID   string `json:"boot"`
	Attempt  uint64 `json:"attempt,omitempty"`
}

type wireTrial struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Attempt     uint64 `json:"attempt"`
	Endpoint    string `json:"endpoint"`
	BootID      string `json:"boot"`
	Running     bool   `json:"running,omitempty"`
}

type wireRecord struct {
	Losses []wireLoss `json:"losses"`
	Until  int64      `json:"until,omitempty"` // Unix time in seconds; 0 if not set
	Trial  *wireTrial `json:"trial,omitempty"`
}

// Encode encodes a record as JSON.
func Encode(r quarantine.Record) ([]byte, error) {
	w := wireRecord{Losses: make([]wireLoss, 0, len(r.Losses))}
	for _, l := range r.Losses {
		w.Losses = append(w.Losses, wireLoss{string(l.Endpoint), l.BootID, l.Attempt})
	}
	if !r.Until.IsZero() {
		w.Until = r.Until.Unix()
	}
	if t := r.Trial; t != nil {
		w.Trial = &wireTrial{string(t.Holder), uint64(t.Incarnation), t.Attempt, string(t.Endpoint), t.BootID, t.Running}
	}
	return json.Marshal(w)
}

// Decode decodes a stored record.
func Decode(value []byte) (quarantine.Record, error) {
	var w wireRecord
	if err := json.Unmarshal(value, &w); err != nil {
		return quarantine.Record{}, fmt.Errorf("decode quarantine record: %w", err)
	}
	var r quarantine.Record
	for _, l := range w.Losses {
		r.Losses = append(r.Losses, quarantine.Loss{Endpoint: fleet.EndpointID(l.Endpoint), BootID: l.BootID, Attempt: l.Attempt})
	}
	if w.Until != 0 {
		r.Until = time.Unix(w.Until, 0)
	}
	if t := w.Trial; t != nil {
		r.Trial = &quarantine.Trial{
			Holder: fleet.InstanceID(t.Holder), Incarnation: fleet.Incarnation(t.Incarnation), Attempt: t.Attempt,
			Endpoint: fleet.EndpointID(t.Endpoint), BootID: t.BootID, Running: t.Running,
		}
	}
	return r, nil
}

// Event converts a record read from the store to a RecordRead event.
func Event(rec backing.Record) (quarantine.RecordRead, error) {
	f, err := ParseKey(rec.Key)
	if err != nil {
		return quarantine.RecordRead{}, err
	}
	r, err := Decode(rec.Value)
	if err != nil {
		return quarantine.RecordRead{}, fmt.Errorf("record %q: %w", rec.Key, err)
	}
	return quarantine.RecordRead{Fingerprint: f, OK: true, Record: r, Version: rec.Version}, nil
}

// Txn returns the conditional store transaction for a commit.
func Txn(c quarantine.CommitRecord) (backing.Txn, error) {
	key := Key(c.Fingerprint)
	txn := backing.Txn{Conditions: []backing.Condition{{Key: key, Version: c.IfVersion}}}
	if c.Delete {
		txn.Writes = []backing.Write{{Key: key, Delete: true}}
		return txn, nil
	}
	value, err := Encode(c.Record)
	if err != nil {
		return backing.Txn{}, fmt.Errorf("encode record %q: %w", key, err)
	}
	txn.Writes = []backing.Write{{Key: key, Value: value}}
	return txn, nil
}
