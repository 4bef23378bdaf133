package peering

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// All instances exchange these messages several times a second. To keep them small,
// loads are lists of integers, and descriptions of replicas omit the fields that
// only the holder of the order lease needs.
//
// A version of the store is a counter and an era in two fields, because instances of
// earlier program versions read the counter alone.

// loadMessage is the load on a replica: the number of requests, followed by a pair of
// urgency level and pending prefill work for each level that has any.
type loadMessage []int

// ownLoadMessage is the load of one instance on a replica, with the adapters and
// models in use.
type ownLoadMessage struct {
	Load        loadMessage    `json:"l"`
	Adapters    []string       `json:"a,omitempty"`
	Models      map[string]int `json:"m,omitempty"`
	Unreachable bool           `json:"u,omitempty"`
}

type latencyProfileMessage struct {
	PerToken float64       `json:"p"`
	Base     time.Duration `json:"b"`
	Samples  int           `json:"n"`
}

type demandMessage struct {
	Requests     int            `json:"n"`
	Value        float64        `json:"w"`
	AdapterValue float64        `json:"x,omitempty"`
	PrefillWork  int            `json:"r"`
	WaitRatio    float64        `json:"s"`
	Adapters     map[string]int `json:"a,omitempty"`
}

// stateMessage is the state that an instance sends to the holder.
type stateMessage struct {
	Instance        string                           `json:"instance"`
	Loads           map[string]ownLoadMessage        `json:"loads,omitempty"`
	Demand          map[string]demandMessage         `json:"demand,omitempty"`
	TableVersions   map[string]uint64                `json:"versions"`
	LatencyProfiles map[string]latencyProfileMessage `json:"paces,omitempty"`
	Crashes         map[uint64]int                   `json:"crashes,omitempty"`
	Suspects        *suspectsMessage                 `json:"suspects,omitempty"`
	ListVersion     uint64                           `json:"list_version"`
	TableEras       map[string]uint64                `json:"eras,omitempty"`
	ListEra         uint64                           `json:"list_era,omitempty"`
	ConfigVersion   int64                            `json:"config_version,omitempty"`
}

type loadedModelMessage struct {
	Name     string   `json:"n"`
	Version  int      `json:"v,omitempty"`
	Adapters []string `json:"a,omitempty"`
}

type replicaMessage struct {
	Service     string               `json:"s"`
	Address     string               `json:"a"`
	DataCentre  string               `json:"d"`
	Slots       int                  `json:"n"`
	Leaving     bool                 `json:"l,omitempty"`
	TimeToExit  time.Duration        `json:"r,omitempty"`
	Models      []loadedModelMessage `json:"m,omitempty"`
	StartMillis int64                `json:"b,omitempty"`
	Sequence    int64                `json:"q,omitempty"`
}

type entryMessage struct {
	ID      string          `json:"i"`
	Version uint64          `json:"v"`
	Era     uint64          `json:"e,omitempty"`
	Replica *replicaMessage `json:"r,omitempty"`
}

// fleetMessage is the answer to a stateMessage. Its int64 times are in
// milliseconds.
type fleetMessage struct {
	Holder          string                           `json:"holder,omitempty"`
	Epoch           uint64                           `json:"epoch,omitempty"`
	LeaseVersion    uint64                           `json:"lease_version,omitempty"`
	TimeUntilOrders int64                            `json:"orders_in,omitempty"`
	ReleasedBy      string                           `json:"released,omitempty"`
	Interval        int64                            `json:"interval"`
	Instances       int                              `json:"instances"`
	Loads           map[string]loadMessage           `json:"loads,omitempty"`
	TableVersions   map[string]uint64                `json:"versions"`
	LatencyProfiles map[string]latencyProfileMessage `json:"paces,omitempty"`
	Crashes         map[uint64]int                   `json:"crashes,omitempty"`
	Suspects        *decisionsMessage                `json:"suspects,omitempty"`
	ModelChanges    map[string]int64                 `json:"moving,omitempty"`
	UnloadingModels map[string][]string              `json:"dropping,omitempty"`
	FullReplicas    map[string][]string              `json:"full,omitempty"`
	ModelArrivals   map[string]int64                 `json:"coming,omitempty"`
	List            []entryMessage                   `json:"list,omitempty"`
	ListIsWhole     bool                             `json:"list_whole,omitempty"`
	PendingRemovals []entryMessage                   `json:"list_removing,omitempty"`
	ListVersion     uint64                           `json:"list_version"`
	LeaseEra        uint64                           `json:"lease_era,omitempty"`
	TableEras       map[string]uint64                `json:"eras,omitempty"`
	ListEra         uint64                           `json:"list_era,omitempty"`
	Config          []byte                           `json:"config,omitempty"`
	// ListAge keeps the key of earlier program versions, which run beside this one during
	// a roll and take a message without it for current.
	ListAge       int64  `json:"store_age"`
	ConfigVersion int64  `json:"config_version,omitempty"`
	ConfigAge     *int64 `json:"config_age,omitempty"` // instances of earlier versions send none
}

// mapValues returns a map with translate applied to every value, or nil for an empty
// map.
func mapValues[A, B any](in map[string]A, convert func(A) B) map[string]B {
	if len(in) == 0 {
		return nil
	}
	out := make(map[string]B, len(in))
	for key, value := range in {
		out[key] = convert(value)
	}
	return out
}

// encodeVersions returns the counters and the eras of versions.
func encodeVersions(versions map[string]rowstore.Version) (counters, eras map[string]uint64) {
	return mapValues(versions, rowstore.Version.Counter), mapValues(versions, rowstore.Version.Era)
}

func decodeVersions(counters, eras map[string]uint64) map[string]rowstore.Version {
	out := make(map[string]rowstore.Version, len(counters))
	for table, counter := range counters {
		out[table] = rowstore.NewVersion(eras[table], counter)
	}
	return out
}

// roundToHundredths rounds v to two decimals to shorten its encoding.
func roundToHundredths(v float64) float64 { return math.Round(v*100) / 100 }

func encodeLoad(l dispatch.Load) loadMessage {
	m := loadMessage{l.Requests}
	for level, tokens := range l.PendingPrefill {
		if n := int(math.Round(tokens)); n > 0 {
			m = append(m, level, n)
		}
	}
	return m
}

// decodeLoad ignores unknown urgency levels and incomplete pairs.
func decodeLoad(m loadMessage) dispatch.Load {
	var l dispatch.Load
	if len(m) == 0 {
		return l
	}
	l.Requests = m[0]
	for i := 1; i+1 < len(m); i += 2 {
		if level := m[i]; level >= 0 && level < dispatch.UrgencyLevels {
			l.PendingPrefill[level] = float64(m[i+1])
		}
	}
	return l
}

func encodeOwnLoad(l dispatch.Load) ownLoadMessage {
	return ownLoadMessage{Load: encodeLoad(l), Adapters: l.Adapters, Models: l.Models, Unreachable: l.Unreachable}
}

func decodeOwnLoad(m ownLoadMessage) dispatch.Load {
	l := decodeLoad(m.Load)
	l.Adapters, l.Models, l.Unreachable = m.Adapters, m.Models, m.Unreachable
	return l
}

func encodeLatencyProfile(p dispatch.LatencyProfile) latencyProfileMessage {
	return latencyProfileMessage{PerToken: math.Round(p.PerToken*1000) / 1000, Base: p.Base.Round(time.Millisecond), Samples: p.Samples}
}

func decodeLatencyProfile(m latencyProfileMessage) dispatch.LatencyProfile {
	return dispatch.LatencyProfile(m)
}

func encodeDemand(d residency.Demand) demandMessage {
	return demandMessage{
		Requests: d.Requests, Value: roundToHundredths(d.Value), AdapterValue: roundToHundredths(d.AdapterValue), PrefillWork: int(d.PrefillWork),
		WaitRatio: roundToHundredths(d.WaitRatio), Adapters: d.Adapters,
	}
}

func decodeDemand(m demandMessage) residency.Demand {
	return residency.Demand{
		Requests: m.Requests, Value: m.Value, AdapterValue: m.AdapterValue, PrefillWork: float64(m.PrefillWork),
		WaitRatio: m.WaitRatio, Adapters: m.Adapters,
	}
}

func encodeState(s controlplane.PeerState) stateMessage {
	counters, eras := encodeVersions(s.TableVersions)
	return stateMessage{
		Instance: s.Instance, Loads: mapValues(s.Loads, encodeOwnLoad), Demand: mapValues(s.Demand, encodeDemand), TableVersions: counters, TableEras: eras,
		LatencyProfiles: mapValues(s.LatencyProfiles, encodeLatencyProfile), Crashes: s.Crashes, Suspects: encodeSuspects(s.Suspects), ListVersion: s.ListVersion.Counter(), ListEra: s.ListVersion.Era(),
		ConfigVersion: s.ConfigVersion,
	}
}

func decodeState(m stateMessage) controlplane.PeerState {
	return controlplane.PeerState{
		Instance: m.Instance, Loads: mapValues(m.Loads, decodeOwnLoad), Demand: mapValues(m.Demand, decodeDemand), TableVersions: decodeVersions(m.TableVersions, m.TableEras),
		LatencyProfiles: mapValues(m.LatencyProfiles, decodeLatencyProfile), Crashes: m.Crashes, Suspects: decodeSuspects(m.Suspects), ListVersion: rowstore.NewVersion(m.ListEra, m.ListVersion),
		ConfigVersion: m.ConfigVersion,
	}
}

func encodeEntry(e catalog.Entry) entryMessage {
	m := entryMessage{ID: e.ID, Version: e.Version.Counter(), Era: e.Version.Era()}
	if r := e.Replica; r != nil {
		m.Replica = &replicaMessage{
			Service: r.Service, Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots, Leaving: r.Leaving, TimeToExit: r.TimeToExit, StartMillis: r.StartMillis, Sequence: r.Sequence,
		}
		for _, model := range r.Models {
			m.Replica.Models = append(m.Replica.Models, loadedModelMessage(model))
		}
	}
	return m
}

func decodeEntry(m entryMessage) catalog.Entry {
	e := catalog.Entry{ID: m.ID, Version: rowstore.NewVersion(m.Era, m.Version), Partial: true}
	if r := m.Replica; r != nil {
		e.Replica = &catalog.Replica{
			ID: m.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots, Leaving: r.Leaving, TimeToExit: r.TimeToExit, StartMillis: r.StartMillis, Sequence: r.Sequence,
		}
		for _, model := range r.Models {
			e.Replica.Models = append(e.Replica.Models, catalog.LoadedModel(model))
		}
	}
	return e
}

func encodeFleet(s controlplane.FleetState) fleetMessage {
	counters, eras := encodeVersions(s.TableVersions)
	m := fleetMessage{
		Holder: s.Holder, Epoch: s.Epoch, LeaseVersion: s.LeaseVersion.Counter(), LeaseEra: s.LeaseVersion.Era(), TimeUntilOrders: s.TimeUntilOrders.Milliseconds(), ReleasedBy: s.ReleasedBy, Interval: s.Interval.Milliseconds(), Instances: s.Instances,
		Loads: mapValues(s.Loads, encodeLoad), TableVersions: counters, TableEras: eras, LatencyProfiles: mapValues(s.LatencyProfiles, encodeLatencyProfile), Crashes: s.Crashes, Suspects: encodeDecisions(s.Suspects),
		ModelChanges: mapValues(s.ModelChanges, time.Duration.Milliseconds), UnloadingModels: s.UnloadingModels, FullReplicas: s.FullReplicas,
		ModelArrivals: mapValues(s.ModelArrivals, time.Duration.Milliseconds), ListIsWhole: s.ListIsWhole, ListVersion: s.ListVersion.Counter(), ListEra: s.ListVersion.Era(), Config: s.Config, ListAge: s.ListAge.Milliseconds(), ConfigVersion: s.ConfigVersion,
	}
	if s.ConfigAge >= 0 {
		age := s.ConfigAge.Milliseconds()
		m.ConfigAge = &age
	}
	for _, e := range s.List {
		m.List = append(m.List, encodeEntry(e))
	}
	for _, e := range s.PendingRemovals {
		m.PendingRemovals = append(m.PendingRemovals, encodeEntry(e))
	}
	return m
}

func decodeFleet(m fleetMessage) controlplane.FleetState {
	s := controlplane.FleetState{
		Holder: m.Holder, Epoch: m.Epoch, LeaseVersion: rowstore.NewVersion(m.LeaseEra, m.LeaseVersion), TimeUntilOrders: fromMilliseconds(m.TimeUntilOrders), ReleasedBy: m.ReleasedBy, Interval: fromMilliseconds(m.Interval), Instances: m.Instances,
		Loads: mapValues(m.Loads, decodeLoad), TableVersions: decodeVersions(m.TableVersions, m.TableEras), LatencyProfiles: mapValues(m.LatencyProfiles, decodeLatencyProfile), Crashes: m.Crashes, Suspects: decodeDecisions(m.Suspects),
		ModelChanges: mapValues(m.ModelChanges, fromMilliseconds), UnloadingModels: m.UnloadingModels, FullReplicas: m.FullReplicas,
		ModelArrivals: mapValues(m.ModelArrivals, fromMilliseconds), ListIsWhole: m.ListIsWhole, ListVersion: rowstore.NewVersion(m.ListEra, m.ListVersion), Config: m.Config, ListAge: fromMilliseconds(m.ListAge), ConfigVersion: m.ConfigVersion, ConfigAge: -1,
	}
	if m.ConfigAge != nil {
		s.ConfigAge = fromMilliseconds(*m.ConfigAge)
	}
	for _, e := range m.List {
		s.List = append(s.List, decodeEntry(e))
	}
	for _, e := range m.PendingRemovals {
		s.PendingRemovals = append(s.PendingRemovals, catalog.Entry{ID: e.ID, Version: rowstore.NewVersion(e.Era, e.Version)})
	}
	return s
}

func fromMilliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
