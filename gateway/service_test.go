package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/idempotency"
	"github.com/hyssophaven/hyssophaven/idempotency/record"
)

// desk is a booking service that counts what it runs.
type desk struct {
	runs   atomic.Int64
	before func() // called before a booking is answered
	body   string
	status int // 0 means 201
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := d.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if d.before != nil {
		d.before()
	}
	w.Header().Set("Location", fmt.Sprintf("/bookings/%d", n))
	w.Header().Set("X-Desk", "open")
	w.Header().Set("Keep-Alive", "timeout=5")
	w.WriteHeader(cmp.Or(d.status, http.StatusCreated))
	_, _ = io.WriteString(w, d.body+r.URL.RequestURI()+r.Header.Get("Keep-Alive"))
}

func deskRig(t *testing.T, change func(*Config)) (*rig, *desk) {
	t.Helper()
	r, d := newRig(t, change), &desk{}
	r.addService(t, d.ServeHTTP)
	return r, d
}

// book makes one keyed call.
func (r *rig) book(key string) reply {
	return r.call("POST", "/services/booking/bookings", "slot 9", HeaderKey, key, "Authorization", "Bearer a")
}

// Guards against plain calls that are changed on their way.
func TestPlainCallIsRelayedAsItIs(t *testing.T) {
	r, d := deskRig(t, nil)
	a := r.call("GET", "/services/booking/a%2Fb/c?x=%20y", "", "Keep-Alive", "x")
	r.is.Equal(a.status, http.StatusCreated)
	r.is.Equal(a.body, "/a%2Fb/c?x=%20y")
	r.is.Equal(a.executed, "yes")
	r.is.Equal(a.header.Get("X-Desk"), "open")
	r.is.Equal(a.header.Get("Keep-Alive"), "")
	r.is.Equal(r.call("GET", "/services/booking", "").body, "/")
	head := r.call("HEAD", "/services/booking/x", "")
	r.is.Equal(head.header.Get("Content-Length"), "2") // the length of "/x"
	r.is.Equal(head.body, "")
	d.status = http.StatusNoContent
	none := r.call("DELETE", "/services/booking/x", "")
	r.is.Equal(none.status, http.StatusNoContent)
	r.is.Equal(none.header.Get("Content-Length"), "")
	r.is.Equal(r.control.asked[0].Pool, "desk")
}

// cut is a service that breaks the connection after it has read a request.
func cut(runs *atomic.Int64) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// Guards against reads that fail although another endpoint lives, and against
// bookings that are sent to a second endpoint.
func TestOnlyIdempotentCallsAreRepeated(t *testing.T) {
	r := newRig(t, nil)
	var broken atomic.Int64
	r.addService(t, cut(&broken))
	d := &desk{}
	r.addService(t, d.ServeHTTP)
	r.is.Equal(r.call("GET", "/services/booking/slots", "").status, http.StatusCreated)
	r.is.Equal(r.control.results(), []admission.Result{admission.ResultLost, admission.ResultAnswered})
	for _, path := range []string{"/bookings", "//bookings", "/x/../bookings", "/%62ookings", "/holds/7"} {
		broken.Store(0)
		d.runs.Store(0)
		a := r.call("POST", "/services/booking"+path, "slot 9")
		r.is.Equal(a.status, http.StatusBadGateway)
		r.is.Equal(a.executed, "unknown")
		r.is.Equal(broken.Load()+d.runs.Load(), int64(1))
	}
}

// Guards against the transport's own repetition on a reused connection, which
// it does for requests with an idempotency key and for safe methods.
func TestTransportDoesNotSendBookingsTwice(t *testing.T) {
	r := newRig(t, nil)
	var runs atomic.Int64
	good := true
	r.addService(t, func(w http.ResponseWriter, q *http.Request) {
		runs.Add(1)
		if !good {
			conn, _, err := http.NewResponseController(w).Hijack()
			r.is.NoErr(err)
			_ = conn.Close() // after the request was read and without an answer
		}
	})
	r.is.Equal(r.call("GET", "/services/booking/", "").status, http.StatusOK) // opens the connection
	good = false
	a := r.book("k")
	r.is.Equal(a.status, http.StatusBadGateway)
	r.is.Equal(a.executed, "unknown")
	r.is.Equal(runs.Load(), int64(2)) // the opening call and one booking
}

// Guards against an unreachable endpoint being taken for an unknown outcome,
// and against a key that stays blocked by a call that was not sent.
func TestUnreachableEndpointWasNotExecuted(t *testing.T) {
	r := newRig(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	r.control.endpoints = append(r.control.endpoints, fleet.Endpoint{ID: "gone", Pool: "desk", Address: l.Addr().String()})
	r.is.NoErr(l.Close())
	r.is.Equal(r.call("POST", "/services/booking/bookings", "x").executed, "no")
	r.is.Equal(r.book("k").executed, "no")
	r.background.Wait() // the claim is released in the background
	d := &desk{}
	r.addService(t, d.ServeHTTP)
	r.is.Equal(r.book("k").status, http.StatusCreated)
	r.is.Equal(d.runs.Load(), int64(1))
}

// Guards against a second run of a booking that is repeated after it is done.
func TestRepeatIsReplayed(t *testing.T) {
	for _, large := range []bool{false, true} {
		r, d := deskRig(t, nil)
		if large {
			d.body = strings.Repeat("x", 20<<10)
		}
		first, second := r.book("k"), r.book("k")
		r.is.Equal(first.status, http.StatusCreated)
		r.is.Equal(first.executed, "yes")
		r.is.Equal(second.status, first.status)
		r.is.Equal(second.body, first.body)
		r.is.Equal(second.executed, "yes")
		r.is.Equal(second.header.Get("Location"), "/bookings/1")
		r.is.Equal(second.header.Get(HeaderReplayed), "true")
		r.is.Equal(len(r.store.objects) == 1, large)
		other := r.call("POST", "/services/booking/bookings", "slot 10", HeaderKey, "k", "Authorization", "Bearer a")
		r.is.Equal(other.status, http.StatusUnprocessableEntity)
		r.is.Equal(other.executed, "no")
		stranger := r.call("POST", "/services/booking/bookings", "slot 10", HeaderKey, "k", "Authorization", "Bearer b")
		r.is.Equal(stranger.status, http.StatusCreated) // the key belongs to the credential
		r.is.Equal(d.runs.Load(), int64(2))
	}
}

// Guards against an answer that is lost silently when its body can't be kept.
func TestLargeAnswerWithoutObjectStore(t *testing.T) {
	r, d := deskRig(t, nil)
	d.body = strings.Repeat("x", 20<<10)
	r.store.fail = func(op string) error {
		if op == "put" {
			return backing.ErrUnavailable
		}
		return nil
	}
	r.is.True(len(r.book("k").body) > 20<<10)
	second := r.book("k")
	r.is.Equal(second.status, http.StatusCreated)
	r.is.Equal(second.executed, "yes")
	r.is.True(strings.Contains(second.body, "answer_not_kept"))
	r.is.Equal(d.runs.Load(), int64(1))
}

var storeFaults = []struct {
	name     string
	fail     func(calls map[string]int, op string) error
	status   int
	executed string
	runs     int64
}{
	{"down before the claim", func(_ map[string]int, op string) error { return backing.ErrUnavailable }, 503, "no", 0},
	{"claim applied, answer lost", func(n map[string]int, op string) error {
		if op == "applied" && n[op] == 1 {
			return backing.ErrUnknownOutcome
		}
		return nil
	}, 201, "yes", 1},
	{"claim not applied, answer lost", func(n map[string]int, op string) error {
		if op == "commit" && n[op] == 1 {
			return backing.ErrUnknownOutcome
		}
		return nil
	}, 201, "yes", 1},
	{"claim lost and unreadable", func(n map[string]int, op string) error {
		if op == "applied" {
			return backing.ErrUnknownOutcome
		}
		return backing.ErrUnavailable
	}, 503, "no", 0},
	{"down when the answer is stored", func(n map[string]int, op string) error {
		if op == "commit" && n[op] > 1 {
			return backing.ErrUnavailable
		}
		return nil
	}, 201, "yes", 1},
}

// Guards against a booking that is sent without a claim, or is told to have
// not run although it did, for each way in which the store fails.
func TestStoreFaults(t *testing.T) {
	for _, c := range storeFaults {
		t.Run(c.name, func(t *testing.T) {
			r, d := deskRig(t, func(cfg *Config) {
				cfg.Claims = idempotency.DefaultSettings()
				cfg.Claims.ClaimWithin, cfg.Claims.AnswerWithin = 30*time.Millisecond, 30*time.Millisecond
				cfg.Claims.RetryFirst, cfg.Claims.RetryMax = 5*time.Millisecond, 20*time.Millisecond
			})
			calls := make(map[string]int)
			r.store.fail = func(op string) error {
				calls[op]++
				return c.fail(calls, op)
			}
			a := r.book("k")
			r.is.Equal(a.status, c.status)
			r.is.Equal(a.executed, c.executed)
			r.is.Equal(a.header.Get("Retry-After") != "", c.executed == "no")
			r.store.mu.Lock()
			r.store.fail = nil
			r.store.mu.Unlock()
			r.background.Wait() // the record is settled once the store is back
			r.is.Equal(d.runs.Load(), c.runs)
			r.is.Equal(r.book("k").executed, "yes")
			r.is.Equal(d.runs.Load(), int64(1))
		})
	}
}

// Guards against a second run while the first is in progress, also through
// another instance, and after its instance has died.
func TestRepeatOfAnUnsettledCall(t *testing.T) {
	r, d := deskRig(t, nil)
	running, finish := make(chan struct{}), make(chan struct{})
	d.before = func() {
		close(running)
		<-finish
	}
	first := make(chan reply, 1)
	go func() { first <- r.book("k") }()
	<-running
	a := r.book("k")
	r.is.Equal(a.status, http.StatusConflict)
	r.is.Equal(a.executed, "unknown")
	r.is.True(a.header.Get("Retry-After") != "")
	close(finish)
	r.is.Equal((<-first).status, http.StatusCreated)

	for _, c := range []struct {
		owner  idempotency.Owner
		status idempotency.Status
		code   string
	}{
		{idempotency.Owner{Instance: "i2", Incarnation: 8}, idempotency.Claimed, "request_in_progress"},
		{idempotency.Owner{Instance: "i2", Incarnation: 7}, idempotency.Claimed, "outcome_unknown"}, // an earlier process
		{idempotency.Owner{Instance: "i9", Incarnation: 1}, idempotency.Claimed, "outcome_unknown"}, // a dead instance
		{idempotency.Owner{Instance: "i2", Incarnation: 8}, idempotency.Unknown, "outcome_unknown"},
	} {
		key := idempotency.ClaimKey("booking", "authorization Bearer a", "other")
		value, err := record.Encode(idempotency.Record{Status: c.status, Owner: c.owner, Body: idempotency.BodyHash("POST", "/bookings", []byte("slot 9"))})
		r.is.NoErr(err)
		r.store.mu.Lock()
		r.store.records[key] = backing.Record{Key: key, Value: value, Version: 1}
		r.store.mu.Unlock()
		a := r.book("other")
		r.is.Equal(a.status, http.StatusConflict)
		r.is.Equal(a.executed, "unknown")
		r.is.True(strings.Contains(a.body, c.code))
	}
	r.is.Equal(d.runs.Load(), int64(1))
}

// Guards against a booking that is broken off, or not recorded, because its
// caller hung up.
func TestBookingOutlivesItsCaller(t *testing.T) {
	r, d := deskRig(t, nil)
	ctx, hangUp := context.WithCancel(t.Context())
	d.before = hangUp
	req, err := http.NewRequestWithContext(ctx, "POST", r.url+"/services/booking/bookings", strings.NewReader("slot 9"))
	r.is.NoErr(err)
	req.Header.Set(HeaderKey, "k")
	req.Header.Set("Authorization", "Bearer a")
	_, err = http.DefaultClient.Do(req)
	r.is.True(err != nil)
	r.background.Wait()
	a := r.book("k")
	r.is.Equal(a.status, http.StatusCreated)
	r.is.Equal(a.header.Get(HeaderReplayed), "true")
	r.is.Equal(d.runs.Load(), int64(1))
}

// Guards against calls without a key where the row demands one.
func TestRequiredKey(t *testing.T) {
	r, d := deskRig(t, nil)
	a := r.call("POST", "/services/strict/bookings", "slot 9")
	r.is.Equal(a.status, http.StatusBadRequest)
	r.is.Equal(a.executed, engine.ExecutedNo.String())
	r.is.True(strings.Contains(a.body, "idempotency_key_required"))
	r.is.Equal(r.call("GET", "/services/strict/bookings", "").status, http.StatusCreated)
	r.is.Equal(d.runs.Load(), int64(1))
}

// stalledStore never answers a write after the first until its caller gives up.
type stalledStore struct {
	*fakeStore
	commits atomic.Int64
}

func (s *stalledStore) Commit(ctx context.Context, t backing.Txn) ([]uint64, error) {
	if s.commits.Add(1) == 2 {
		<-ctx.Done()
		return nil, backing.ErrUnknownOutcome
	}
	return s.fakeStore.Commit(ctx, t)
}

// Guards against an answer that is held back as long as a store call may last.
func TestAnswerDoesNotWaitForAStalledStore(t *testing.T) {
	r, d := deskRig(t, func(c *Config) {
		c.Table = &stalledStore{fakeStore: c.Table.(*fakeStore)}
		c.Limits.StoreTimeout = time.Hour
		c.Claims = idempotency.DefaultSettings()
		c.Claims.AnswerWithin = 20 * time.Millisecond
	})
	r.is.Equal(r.book("k").status, http.StatusCreated)
	r.background.Wait()
	r.is.Equal(r.book("k").header.Get(HeaderReplayed), "true")
	r.is.Equal(d.runs.Load(), int64(1))
}
