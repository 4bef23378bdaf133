package peer

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var member = fleet.Instance{ID: "i01", Incarnation: 7, DataCentre: "kul-a", PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:8000"}

// drawHeartbeat draws a heartbeat with counts below 16 and times in whole units,
// which the encoding preserves exactly.
func drawHeartbeat(t *rapid.T, sequence uint64) membership.Heartbeat {
	count := func(label string) int { return rapid.IntRange(0, 15).Draw(t, label) }
	h := membership.Heartbeat{
		Member: member, Sequence: sequence, TableRevision: 1 + uint64(count("revision")),
		TableAge: time.Duration(count("age")) * time.Second, WantedLoads: count("wanted"),
		Retries: membership.RetryCounts{Requests: count("requests"), Retries: count("retries")},
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "leases") {
		h.Leases = append(h.Leases, lease.HeldShard{Shard: lease.Shard(fmt.Sprint("shard/", i)), Epoch: uint64(count("epoch"))})
	}
	h.Demand, h.Reports = drawLoad(t)
	for i := range 3 {
		if n := count("on endpoint"); n > 0 {
			h.InFlight = append(h.InFlight, membership.EndpointInFlight{Endpoint: fleet.EndpointID(fmt.Sprint("e", i)), InFlight: [fleet.RankCount]int{n, 0, count("patient")}})
		}
	}
	if rapid.Bool().Draw(t, "suspect") {
		h.Suspects = []quarantine.Notice{{
			Fingerprint: 1 << 63, Losses: []quarantine.Loss{{Endpoint: "e1", BootID: "b"}}, Until: time.Unix(1_800_000_000, 0),
			Trial: &quarantine.Trial{Holder: "i01", Incarnation: 7, Attempt: uint64(count("attempt")), Endpoint: "e2"}, InFlight: 2,
		}}
	}
	if rapid.Bool().Draw(t, "relay") {
		sum := membership.Summary{DataCentre: "kul-b", Relay: "i02", RelayIncarnation: 1, Sequence: sequence, TableRevision: 5, WantedLoads: 2}
		for i := range rapid.IntRange(0, 3).Draw(t, "members") {
			m := member
			m.ID = fleet.InstanceID(fmt.Sprint("i", i))
			sum.Members = append(sum.Members, membership.MemberSummary{Member: m, Suspect: rapid.Bool().Draw(t, "quiet")})
		}
		sum.Demand, sum.Reports = drawLoad(t)
		h.Summaries = []membership.Summary{sum}
	}
	return h
}

// drawLoad draws the demand of up to 4 rows and the reports of up to 4 endpoints.
func drawLoad(t *rapid.T) (demand []membership.RowDemand, reports []membership.EndpointReport) {
	count := func(label string) int { return rapid.IntRange(0, 15).Draw(t, label) }
	demand, reports = []membership.RowDemand{}, []membership.EndpointReport{}
	for i := range 4 {
		if rapid.Bool().Draw(t, "row") {
			demand = append(demand, membership.RowDemand{Row: fmt.Sprint("row", i), ArrivalRate: float64(max(1, count("rate"))) / 10, Queued: count("queued"), InFlight: count("in flight"), Slots: float64(count("slots")) / 10})
		}
		if !rapid.Bool().Draw(t, "endpoint") {
			continue
		}
		r := membership.EndpointReport{
			Endpoint: fleet.EndpointID(fmt.Sprint("e", i)), BootID: fmt.Sprint("boot", count("boot")),
			Running: count("running"), Waiting: count("waiting"), Slots: 8, Leaving: rapid.Bool().Draw(t, "leaving"),
		}
		for k := range rapid.IntRange(0, 2).Draw(t, "residents") {
			r.Residents = append(r.Residents, membership.Resident{Name: fmt.Sprint("m", k), Version: "v1", Ready: rapid.Bool().Draw(t, "ready")})
		}
		reports = append(reports, r)
	}
	return demand, reports
}

// sameLoad reports whether demand and reports are equal, ignoring their order and
// differences in age up to the tolerance.
func sameLoad(tolerance time.Duration, demand, other []membership.RowDemand, reports, otherReports []membership.EndpointReport) bool {
	rows, endpoints := map[string]membership.RowDemand{}, map[fleet.EndpointID]membership.EndpointReport{}
	for _, d := range demand {
		rows[d.Row] = d
	}
	for _, r := range reports {
		endpoints[r.Endpoint] = r
	}
	for _, d := range other {
		if rows[d.Row] != d {
			return false
		}
	}
	for _, r := range otherReports {
		expected := endpoints[r.Endpoint]
		sameAge := (expected.Age - r.Age).Abs() <= tolerance
		expected.Age = r.Age
		if len(expected.Residents) == 0 && len(r.Residents) == 0 {
			expected.Residents = r.Residents
		}
		if !sameAge || !reflect.DeepEqual(expected, r) {
			return false
		}
	}
	return len(demand) == len(other) && len(reports) == len(otherReports)
}

// Guards against a receiver that decodes other values than were sent, over
// several heartbeats on one connection.
func TestDifferencesRestoreTheHeartbeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		enc, dec := newEncoder(), newDecoder(member)
		now := start
		for i := range rapid.IntRange(1, 12).Draw(t, "heartbeats") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			sent := drawHeartbeat(t, uint64(i+1))
			got := transfer(t, enc, dec, now, sent)
			if len(sent.Summaries) != len(got.Summaries) || !sameLoad(ageTolerance, sent.Demand, got.Demand, sent.Reports, got.Reports) {
				t.Fatalf("sent %+v\ngot %+v", sent, got)
			}
			for k, s := range sent.Summaries {
				g := got.Summaries[k]
				if !sameLoad(summaryAgeTolerance, s.Demand, g.Demand, s.Reports, g.Reports) {
					t.Fatalf("sent %+v\ngot %+v", s, g)
				}
				g.Demand, g.Reports = s.Demand, s.Reports
				if !reflect.DeepEqual(s, g) {
					t.Fatalf("sent %+v\ngot %+v", s, g)
				}
			}
			got.Demand, got.Reports, got.Summaries = sent.Demand, sent.Reports, sent.Summaries
			if !reflect.DeepEqual(sent, got) {
				t.Fatalf("sent %+v\ngot %+v", sent, got)
			}
		}
	})
}

type fataler interface{ Fatal(...any) }

// transfer encodes h, decodes it and returns the result.
func transfer(t fataler, enc *encoder, dec *decoder, now time.Time, h membership.Heartbeat) membership.Heartbeat {
	w, err := enc.encode(now, h)
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	var received wireHeartbeat
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	got, err := dec.decode(now, received)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Guards against a large count whose small increases are never sent, so that the
// receiver's value differs by more than 1/16.
func TestElidedCountsStayWithinASixteenth(t *testing.T) {
	is := is.New(t)
	enc, dec := newEncoder(), newDecoder(member)
	for i := range 2000 {
		h := membership.Heartbeat{Member: member, Sequence: uint64(i + 1), Demand: []membership.RowDemand{{Row: "r", ArrivalRate: 1, Queued: 1 + i}}}
		got := transfer(t, enc, dec, start, h)
		is.True(1+i-got.Demand[0].Queued <= (1+i)/16)
	}
}

// Guards against panics, and against heartbeats attributed to another member,
// for any data that an authenticated peer sends. The inputs are the CBOR encodings
// of two heartbeats; the second is the difference from the first.
func FuzzHeartbeat(f *testing.F) {
	packed := func(w wireHeartbeat, err error) []byte {
		if err != nil {
			f.Fatal(err)
		}
		data, err := w.MarshalJSON()
		if err != nil {
			f.Fatal(err)
		}
		b, err := base64.RawStdEncoding.DecodeString(string(data[1 : len(data)-1]))
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	enc := newEncoder()
	f.Add(packed(enc.encode(start, benchHeartbeat(0))), packed(enc.encode(start, benchHeartbeat(1))))
	enc = newEncoder()
	for i := range 2 {
		relay := benchHeartbeat(i)
		relay.Summaries = []membership.Summary{{DataCentre: "kul-b", Relay: "i02", RelayIncarnation: 1, Sequence: uint64(i), Demand: relay.Demand, Reports: relay.Reports}}
		relay.Suspects = []quarantine.Notice{{Fingerprint: 1, Losses: []quarantine.Loss{{Endpoint: "e"}}}}
		f.Add(packed(enc.encode(start, relay)), packed(enc.encode(start, relay)))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		dec := newDecoder(member)
		for _, data := range [][]byte{first, second} {
			var w wireHeartbeat
			if err := w.UnmarshalJSON([]byte(`"` + base64.RawStdEncoding.EncodeToString(data) + `"`)); err != nil {
				return
			}
			h, err := dec.decode(start, w)
			if err != nil {
				return
			}
			if h.Member != member {
				t.Fatalf("heartbeat of %+v", h.Member)
			}
			if _, err := newEncoder().encode(start, h); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against panics and against notices that encoding and decoding changes.
func FuzzNotices(f *testing.F) {
	f.Add([]byte(`[{"f":1,"l":[{"e":"e1","b":"b1","a":3}],"c":[{"e":"e2"}],"u":1800000000,"s":1800000001,"t":{"h":"i","n":1,"a":2,"e":"e3"},"r":2}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var w []wireNotice
		if json.Unmarshal(data, &w) != nil {
			return
		}
		notices := noticesFromWire(w)
		if again := noticesFromWire(noticesToWire(notices)); !reflect.DeepEqual(notices, again) {
			t.Fatalf("%+v became %+v", notices, again)
		}
	})
}

// Guards against panics and against accepting a hello without instance ID,
// incarnation or nonce.
func FuzzHello(f *testing.F) {
	f.Add([]byte(`{"v":1,"n":"AAAAAAAAAAAAAAAAAAAAAA==","i":{"i":"a","n":1,"d":"kul-a","p":"10.0.0.1:7000"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var p helloParams
		if json.Unmarshal(data, &p) != nil {
			return
		}
		i, err := checkHello(p)
		if err == nil && (i.ID == "" || i.Incarnation == 0 || len(p.Nonce) != nonceBytes) {
			t.Fatalf("accepted %+v", p)
		}
	})
}

// benchHeartbeat returns heartbeat i of a member with 20 rows and 12 endpoints
// under load. Every endpoint has a new report each second, and a third of the
// rows change with each heartbeat.
func benchHeartbeat(i int) membership.Heartbeat {
	h := membership.Heartbeat{
		Member: member, Sequence: uint64(i + 1), TableRevision: 100 + uint64(i/14), TableAge: time.Duration(i%4) * 500 * time.Millisecond,
		Retries: membership.RetryCounts{Requests: 200 + i%20, Retries: i % 3},
		Leases:  []lease.HeldShard{{Shard: "shard/17", Epoch: 3}, {Shard: "shard/311", Epoch: 12}},
	}
	for r := range 20 {
		step := (i + r) / 3
		h.Demand = append(h.Demand, membership.RowDemand{
			Row: fmt.Sprintf("vineyard-contract-drafts-%d", r), ArrivalRate: 1 + float64((step*7)%20)/10, Queued: step * 5 % 4, InFlight: 3 + step*11%6,
		})
	}
	for e := range 12 {
		step := (i + e) / 2
		r := membership.EndpointReport{
			Endpoint: fleet.EndpointID(fmt.Sprintf("language-models-kul-a-%d", e)), BootID: fmt.Sprintf("boot-%d-1765432100", e),
			Age: time.Duration((i+e)%2)*500*time.Millisecond + 200*time.Millisecond, Running: 8 + step*5%9, Waiting: step * 3 % 5, Slots: 16,
		}
		for k := range 6 {
			r.Residents = append(r.Residents, membership.Resident{Name: fmt.Sprintf("adapter-%d", (e+k)%30), Version: "2026-11-30", Ready: true})
		}
		h.Reports = append(h.Reports, r)
	}
	return h
}

// BenchmarkHeartbeat measures the encoding and decoding of a heartbeat. It reports
// the bytes, with frame header and JSON-RPC envelope, of the first heartbeat on a
// connection and the mean of the later ones.
func BenchmarkHeartbeat(b *testing.B) {
	const envelope = len(`{"jsonrpc":"2.0","method":"heartbeat","params":}`) + 2
	enc, dec := newEncoder(), newDecoder(member)
	first, total := 0, 0
	now := start
	var prepared [60]membership.Heartbeat // benchHeartbeat's load repeats after 60 heartbeats
	for i := range prepared {
		prepared[i] = benchHeartbeat(i)
	}
	i := 0
	for b.Loop() {
		h := prepared[i%len(prepared)]
		h.Sequence, h.TableRevision = uint64(i+1), 100+uint64(i/14)
		w, err := enc.encode(now, h)
		if err != nil {
			b.Fatal(err)
		}
		data, err := json.Marshal(w)
		if err != nil {
			b.Fatal(err)
		}
		if i == 0 {
			first = len(data) + envelope
		} else {
			total += len(data) + envelope
		}
		var received wireHeartbeat
		if err := json.Unmarshal(data, &received); err != nil {
			b.Fatal(err)
		}
		if _, err := dec.decode(now, received); err != nil {
			b.Fatal(err)
		}
		now = now.Add(500 * time.Millisecond)
		i++
	}
	b.ReportMetric(float64(first), "first-bytes")
	b.ReportMetric(float64(total)/float64(max(1, i-1)), "bytes/heartbeat")
}

// BenchmarkSummary measures the bytes per second on a connection for the summary
// of a data centre with 35 members, 450 endpoints and 440 rows, if a tenth of the
// rows and endpoints change by more than 1/16 each second.
func BenchmarkSummary(b *testing.B) {
	enc := newEncoder()
	sum := membership.Summary{DataCentre: "kul-b", Relay: "i02", RelayIncarnation: 1, TableRevision: 5}
	for i := range 35 {
		m := member
		m.ID = fleet.InstanceID(fmt.Sprintf("kul-b-%02d", i))
		sum.Members = append(sum.Members, membership.MemberSummary{Member: m, Leases: []lease.HeldShard{{Shard: "shard/1", Epoch: 2}}})
	}
	for i := range 440 {
		sum.Demand = append(sum.Demand, membership.RowDemand{Row: fmt.Sprintf("contract-drafts-%d", i), ArrivalRate: 2, InFlight: 8})
	}
	for i := range 450 {
		sum.Reports = append(sum.Reports, membership.EndpointReport{
			Endpoint: fleet.EndpointID(fmt.Sprintf("language-models-kul-b-%d", i)), BootID: "boot-1", Slots: 16, Running: 8,
			Residents: []membership.Resident{{Name: fmt.Sprint("model-", i%440), Version: "1", Ready: true}},
		})
	}
	first, total, i := 0, 0, 0
	for b.Loop() {
		sum.Sequence++
		for k := range sum.Demand {
			if (k+i)%10 == 0 {
				sum.Demand[k].InFlight = 8 + i%7
			}
		}
		for k := range sum.Reports {
			sum.Reports[k].Age = time.Duration(i%2) * time.Second
			if (k+i)%10 == 0 {
				sum.Reports[k].Running = 4 * (1 + i%4)
			}
		}
		w, err := enc.encode(start.Add(time.Duration(i)*time.Second), membership.Heartbeat{Member: member, Sequence: uint64(i + 1), Summaries: []membership.Summary{sum}})
		if err != nil {
			b.Fatal(err)
		}
		data, err := json.Marshal(w)
		if err != nil {
			b.Fatal(err)
		}
		if i == 0 {
			first = len(data)
		} else {
			total += len(data)
		}
		i++
	}
	b.ReportMetric(float64(first), "first-bytes")
	b.ReportMetric(float64(total)/float64(max(1, i-1)), "bytes/s")
}
