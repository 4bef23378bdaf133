// Package claimrecord encodes the claim records of package idempotency for the
// table service.
package claimrecord

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/idempotency"
)

type storedRecord struct {
	Status      string            `json:"status"`
	Instance    fleet.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Call        uint64            `json:"call"`
	Body        string            `json:"body_hash"`
	At          time.Time         `json:"at"`
	Answer      *storedAnswer     `json:"answer,omitempty"`
}

type storedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Location    string `json:"location,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
	BodyLost    bool   `json:"body_lost,omitempty"`
}

// Encode encodes a record as JSON.
func Encode(r idempotency.Record) ([]byte, error) {
	b := storedRecord{
		Status: r.Status.String(), Instance: r.Owner.Instance, Incarnation: r.Owner.Incarnation,
		Call: r.Owner.Call, Body: hex.EncodeToString(r.BodyHash[:]), At: r.At,
	}
	if r.Status == idempotency.Done {
		a := storedAnswer(r.Answer)
		b.Answer = &a
	}
	out, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode claim record: %w", err)
	}
	return out, nil
}

// Decode decodes a stored record.
func Decode(data []byte) (idempotency.Record, error) {
	var b storedRecord
	if err := json.Unmarshal(data, &b); err != nil {
		return idempotency.Record{}, fmt.Errorf("decode claim record: %w", err)
	}
	status, err := idempotency.ParseStatus(b.Status)
	if err != nil {
		return idempotency.Record{}, fmt.Errorf("decode claim record: %w", err)
	}
	r := idempotency.Record{
		Status: status, At: b.At,
		Owner: idempotency.Owner{Instance: b.Instance, Incarnation: b.Incarnation, Call: b.Call},
	}
	hash, err := hex.DecodeString(b.Body)
	if err != nil || len(hash) != len(r.BodyHash) {
		return idempotency.Record{}, fmt.Errorf("decode claim record: body hash %q is not %d hexadecimal bytes", b.Body, len(r.BodyHash))
	}
	copy(r.BodyHash[:], hash)
	if status == idempotency.Done {
		if b.Answer == nil {
			return idempotency.Record{}, fmt.Errorf("decode claim record: a done record holds no answer")
		}
		r.Answer = idempotency.Answer(*b.Answer)
	}
	return r, nil
}
