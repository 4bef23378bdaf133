package peering

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// roundTrip encodes a message as JSON and decodes it again.
func roundTrip[M any](t *testing.T, m M) M {
	t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var out M
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against fields of a state that are lost in encoding or decoding.
func TestStatesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	load := dispatch.Load{Requests: 3, Adapters: []string{"m/a1"}, Models: map[string]int{"m": 3}, Unreachable: true}
	load.PendingPrefill[1], load.PendingPrefill[9] = 20, 400
	profiles := map[string]dispatch.LatencyProfile{"s/10MB": {PerToken: 0.25, Base: 12 * time.Millisecond, Samples: 7}}
	own := controlplane.PeerState{
		Instance: "a", Loads: map[string]dispatch.Load{"r": load},
		Demand:        map[string]residency.Demand{"m": {Requests: 2, Value: 1.5, AdapterValue: 0.5, PrefillWork: 700, WaitRatio: 0.25, Adapters: map[string]int{"a1": 1}}},
		TableVersions: map[string]rowstore.Version{"t": rowstore.NewVersion(3, 4)}, LatencyProfiles: profiles, Crashes: map[uint64]int{1 << 60: 2}, ListVersion: rowstore.NewVersion(2, 9), ConfigVersion: 4,
	}
	is.Equal(decodeState(roundTrip(t, encodeState(own))), own)

	sum := dispatch.Load{Requests: 5}
	sum.PendingPrefill[4] = 12
	replica := catalog.Replica{
		ID: "r", Service: "s", Address: "a:1", DataCentre: "z", Slots: 4, Leaving: true, TimeToExit: time.Second, StartMillis: 5, Sequence: 6,
		Models: []catalog.LoadedModel{{Name: "m", Version: 2, Adapters: []string{"a1"}}},
	}
	fleet := controlplane.FleetState{
		Holder: "h", Epoch: 3, LeaseVersion: rowstore.NewVersion(3, 8), TimeUntilOrders: time.Second, ReleasedBy: "h", Interval: 500 * time.Millisecond, Instances: 7, Loads: map[string]dispatch.Load{"r": sum},
		TableVersions: map[string]rowstore.Version{"t": rowstore.NewVersion(3, 4)}, LatencyProfiles: profiles, Crashes: map[uint64]int{7: 1}, ModelChanges: map[string]time.Duration{"r": time.Second},
		UnloadingModels: map[string][]string{"r": {"m"}}, FullReplicas: map[string][]string{"r": {"m/a1"}}, ModelArrivals: map[string]time.Duration{"m": 2 * time.Second},
		List:            []catalog.Entry{{ID: "r", Version: rowstore.NewVersion(3, 6), Replica: &replica, Partial: true}, {ID: "gone", Version: 7, Partial: true}},
		PendingRemovals: []catalog.Entry{{ID: "kept", Version: rowstore.NewVersion(3, 7)}},
		ListVersion:     rowstore.NewVersion(3, 7), Config: []byte("c"), ListAge: 300 * time.Millisecond,
	}
	is.Equal(decodeFleet(roundTrip(t, encodeFleet(fleet))), fleet)
}

// Guards against a panic on loads from an instance of another version or from a
// corrupt message.
func TestMalformedLoads(t *testing.T) {
	is := is.New(t)
	for _, m := range []loadMessage{nil, {2}, {2, 3}, {2, -1, 5}, {2, dispatch.UrgencyLevels, 5}} {
		l := decodeLoad(m)
		is.Equal(l.PendingPrefill, dispatch.Load{}.PendingPrefill)
	}
}
