// Package ledgerrecord encodes and decodes ledger records as JSON for the table
// service. It owns no state; package ledger makes the records.
package ledgerrecord

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
)

// MaxBytes is the maximum size of an encoded record in bytes. An entry takes
// about 300 bytes, so a replica can have several thousand entries.
const MaxBytes = 1 << 20

type token struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

type sender struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
}

type entry struct {
	Name          string   `json:"name"`
	Base          string   `json:"base,omitempty"`
	Version       string   `json:"version"`
	MemoryMB      int      `json:"memory_mb"`
	State         string   `json:"state"`
	Freed         bool     `json:"freed,omitempty"`
	LoadToken     token    `json:"load_token"`
	UnloadToken   token    `json:"unload_token"`
	LoadSenders   []sender `json:"load_senders,omitempty"`
	UnloadSenders []sender `json:"unload_senders,omitempty"`
}

type record struct {
	Replica string `json:"replica"`
	Holder  sender `json:"holder"`
	Write   uint64 `json:"write"`
	Seen    token  `json:"seen"`
	BootID  string `json:"boot_id"`
	// LostOrders is left out if it is false, so that instances of the version before
	// it decode the record.
	LostOrders bool    `json:"lost_orders,omitempty"`
	Entries    []entry `json:"entries"`
}

// Encode returns the record as JSON. It fails if the result exceeds MaxBytes.
func Encode(r ledger.Record) ([]byte, error) {
	out := record{
		Replica: string(r.Replica), Holder: sender{string(r.Holder.Instance), uint64(r.Holder.Incarnation), r.Holder.Epoch},
		Write: r.Write, Seen: token(r.HighestToken), BootID: r.BootID, LostOrders: r.LostOrders, Entries: make([]entry, len(r.Entries)),
	}
	for i, e := range r.Entries {
		out.Entries[i] = entry{
			Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB, State: e.State.String(), Freed: e.Freed,
			LoadToken: token(e.LoadToken), UnloadToken: token(e.UnloadToken),
			LoadSenders: fromSenders(e.LoadSenders), UnloadSenders: fromSenders(e.UnloadSenders),
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode ledger record of %q: %w", r.Replica, err)
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("ledger record of %q has %d bytes, more than %d", r.Replica, len(data), MaxBytes)
	}
	return data, nil
}

// Decode parses a stored record. It rejects unknown fields, because memory that
// they describe would not be counted.
func Decode(data []byte) (ledger.Record, error) {
	var in record
	if len(data) > MaxBytes {
		return ledger.Record{}, fmt.Errorf("ledger record has %d bytes, more than %d", len(data), MaxBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return ledger.Record{}, fmt.Errorf("decode ledger record: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return ledger.Record{}, fmt.Errorf("decode ledger record: data after the record")
	}
	out := ledger.Record{
		Replica: fleet.EndpointID(in.Replica), Holder: in.Holder.sender(),
		Write: in.Write, HighestToken: fleet.Token(in.Seen), BootID: in.BootID, LostOrders: in.LostOrders,
	}
	seen := map[ledger.Key]bool{}
	for i, e := range in.Entries {
		state, err := ledger.ParseState(e.State)
		switch {
		case err != nil:
			return ledger.Record{}, fmt.Errorf("decode ledger record: entry %d: %w", i, err)
		case e.Name == "" || e.MemoryMB < 0:
			return ledger.Record{}, fmt.Errorf("decode ledger record: entry %d has no name or negative memory", i)
		case seen[ledger.Key{Name: e.Name, Version: e.Version}]:
			return ledger.Record{}, fmt.Errorf("decode ledger record: %q version %q is listed twice", e.Name, e.Version)
		case e.Freed && state != ledger.Settling:
			return ledger.Record{}, fmt.Errorf("decode ledger record: %q is marked as freed in state %s", e.Name, e.State)
		}
		seen[ledger.Key{Name: e.Name, Version: e.Version}] = true
		out.Entries = append(out.Entries, ledger.Entry{
			Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB, State: state, Freed: e.Freed,
			LoadToken: fleet.Token(e.LoadToken), UnloadToken: fleet.Token(e.UnloadToken),
			LoadSenders: toSenders(e.LoadSenders), UnloadSenders: toSenders(e.UnloadSenders),
		})
	}
	return out, nil
}

func (s sender) sender() ledger.Sender {
	return ledger.Sender{Instance: fleet.InstanceID(s.Instance), Incarnation: fleet.Incarnation(s.Incarnation), Epoch: s.Epoch}
}

func fromSenders(list []ledger.Sender) []sender {
	var out []sender
	for _, s := range list {
		out = append(out, sender{string(s.Instance), uint64(s.Incarnation), s.Epoch})
	}
	return out
}

func toSenders(list []sender) []ledger.Sender {
	var out []ledger.Sender
	for _, s := range list {
		out = append(out, s.sender())
	}
	return out
}
