// Package placementrecord encodes and decodes stored placement plans as JSON for
// the table service. It owns no state; package placement makes the plans.
package placementrecord

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/placement"
)

// MaxBytes is the size limit of an encoded plan: 5,400 replicas with 20 items each take
// about 10 MB.
const MaxBytes = 16 << 20

// item is the JSON form of one placement.StoredItem.
type item struct {
	Name       string `json:"name"`
	Base       string `json:"base,omitempty"`
	Version    string `json:"version"`
	MemoryMB   int    `json:"memory_mb"`
	AgeSeconds int64  `json:"age_s"`
}

// replica is the JSON form of one replica's target.
type replica struct {
	ID    string `json:"id"`
	Items []item `json:"items"`
}

// plan is the JSON form of a placement.StoredPlan.
type plan struct {
	Revision uint64    `json:"revision"`
	Replicas []replica `json:"replicas"`
}

// Encode returns the plan as JSON, with ages truncated to whole seconds. It fails
// if the result exceeds MaxBytes.
func Encode(s placement.StoredPlan) ([]byte, error) {
	out := plan{Revision: s.Revision, Replicas: []replica{}}
	for _, p := range s.Items {
		if n := len(out.Replicas); n == 0 || out.Replicas[n-1].ID != string(p.Replica) {
			out.Replicas = append(out.Replicas, replica{ID: string(p.Replica)})
		}
		last := &out.Replicas[len(out.Replicas)-1]
		last.Items = append(last.Items, item{p.Name, p.Base, p.Version, p.MemoryMB, int64(p.Age / time.Second)})
	}
	for _, id := range s.Empty {
		out.Replicas = append(out.Replicas, replica{ID: string(id), Items: []item{}})
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode plan: %w", err)
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("encoded plan has %d bytes; the limit is %d", len(data), MaxBytes)
	}
	return data, nil
}

// maxAge is the greatest age in seconds (100 years); a much greater one would
// overflow time.Duration.
const maxAge = int64(100 * 365 * 24 * time.Hour / time.Second)

// Decode reads a plan from JSON. It fails on unknown fields, on values out of
// range and on data after the plan.
func Decode(data []byte) (placement.StoredPlan, error) {
	var in plan
	if len(data) > MaxBytes {
		return placement.StoredPlan{}, fmt.Errorf("decode plan: %d bytes exceed the limit of %d", len(data), MaxBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return placement.StoredPlan{}, fmt.Errorf("decode plan: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return placement.StoredPlan{}, fmt.Errorf("decode plan: data after the plan")
	}
	out := placement.StoredPlan{Revision: in.Revision}
	for _, r := range in.Replicas {
		if len(r.Items) == 0 {
			out.Empty = append(out.Empty, fleet.EndpointID(r.ID))
		}
		for _, it := range r.Items {
			if it.Name == "" || it.MemoryMB < 0 || it.AgeSeconds < 0 || it.AgeSeconds > maxAge {
				return placement.StoredPlan{}, fmt.Errorf("decode plan: replica %q has an item without a name or with a value out of range", r.ID)
			}
			out.Items = append(out.Items, placement.StoredItem{
				Replica: fleet.EndpointID(r.ID), Name: it.Name, Base: it.Base, Version: it.Version,
				MemoryMB: it.MemoryMB, Age: time.Duration(it.AgeSeconds) * time.Second,
			})
		}
	}
	return out, nil
}
