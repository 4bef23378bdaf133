package burnstore

import (
	"context"
	"expvar"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/burn/burncodec"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/gateway"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/openai"
	"github.com/hyssophaven/hyssophaven/table"
)

type fakeControl struct{ snapshot *control.Snapshot }

func (f *fakeControl) Name() string                                { return control.ServiceName }
func (f *fakeControl) Requires() []string                          { return nil }
func (f *fakeControl) Start(context.Context, *kernel.Kernel) error { return nil }
func (f *fakeControl) Stop(context.Context) error                  { return nil }
func (f *fakeControl) Snapshot() *control.Snapshot                 { return f.snapshot }

// fakeObjectStore is an object store in memory that can be made unavailable.
type fakeObjectStore struct {
	mu      sync.Mutex
	down    bool
	objects map[string][]byte
	puts    int
	deletes int
}

func newFakeObjectStore() *fakeObjectStore { return &fakeObjectStore{objects: make(map[string][]byte)} }

func (f *fakeObjectStore) callIfUp(call func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return backing.ErrUnavailable
	}
	call()
	return nil
}

func (f *fakeObjectStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeObjectStore) Put(_ context.Context, name string, data []byte) error {
	return f.callIfUp(func() { f.puts++; f.objects[name] = data })
}

func (f *fakeObjectStore) Get(_ context.Context, name string) (data []byte, err error) {
	err = f.callIfUp(func() { data = f.objects[name] })
	if err == nil && data == nil {
		err = backing.ErrNotFound
	}
	return data, err
}

func (f *fakeObjectStore) List(_ context.Context, prefix string) (names []string, err error) {
	err = f.callIfUp(func() {
		for n := range f.objects {
			if strings.HasPrefix(n, prefix) {
				names = append(names, n)
			}
		}
	})
	return names, err
}

func (f *fakeObjectStore) Delete(_ context.Context, name string) error {
	return f.callIfUp(func() { f.deletes++; delete(f.objects, name) })
}

// testService is a service that runs on its own kernel.
type testService struct {
	*Service
	kernel *kernel.Kernel
	vars   *expvar.Map
	stop   func() error
}

func startTestService(t *testing.T, objects backing.ObjectStore, id fleet.InstanceID, incarnation fleet.Incarnation, alive ...fleet.InstanceID) testService {
	t.Helper()
	is := is.New(t)
	snapshot := &control.Snapshot{AliveIncarnations: make(map[fleet.InstanceID]fleet.Incarnation)}
	for _, a := range alive {
		snapshot.AliveIncarnations[a] = 1
	}
	k, err := kernel.New()
	is.NoErr(err)
	vars := new(expvar.Map).Init()
	s := New(Config{Self: fleet.Instance{ID: id, Incarnation: incarnation}, Objects: objects, Vars: vars})
	k.Register(&fakeControl{snapshot: snapshot})
	k.Register(s)
	is.NoErr(k.Start(t.Context()))
	out := testService{Service: s, kernel: k, vars: vars, stop: sync.OnceValue(func() error { return k.Stop(context.Background()) })}
	t.Cleanup(func() { _ = out.stop() }) // synctest requires that all goroutines exit, even if the test fails
	return out
}

func (s testService) counter(name string) string { return s.vars.Get(name).String() }

func (s testService) record(n int, r gateway.FinishedRequest) {
	for range n {
		s.Record(r)
	}
	synctest.Wait()
}

// urgentReport returns the report and the urgent rank's window of one hour.
func urgentReport(t *testing.T, s testService) (burncodec.Report, burncodec.Window) {
	t.Helper()
	data, err := s.ReportJSON(t.Context())
	is.New(t).NoErr(err)
	r, err := burncodec.DecodeReport(data)
	is.New(t).NoErr(err)
	return r, r.Ranks[fleet.Urgent].Windows[1]
}

var answeredRequest = gateway.FinishedRequest{Row: "a", Rank: fleet.Urgent, Duration: time.Second}

// Guards against counts that are lost or counted twice when an instance is
// replaced, including by one with the same ID, and against two incarnations that
// write the same document.
func TestCountsSurviveReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjectStore()
		first := startTestService(t, store, "entry-1", 1)
		second := startTestService(t, store, "entry-2", 1)
		first.record(10, answeredRequest)
		second.record(5, answeredRequest)
		is.NoErr(first.stop())
		successor := startTestService(t, store, "entry-1", 2)
		successor.record(3, answeredRequest)
		time.Sleep(time.Minute) // every service writes its document
		for range 2 {
			r, w := urgentReport(t, successor)
			is.Equal(w.Good, uint64(18))
			is.Equal(r.Sources, 3)
			is.True(r.Complete)
			time.Sleep(time.Minute)
		}
		is.NoErr(successor.stop())
		is.NoErr(second.stop())
		is.Equal(len(store.objects), 3)
	})
}

// Guards against a store outage that loses counts, makes reports fail or triggers
// more than one write per interval.
func TestStoreOutageKeepsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjectStore()
		other := startTestService(t, store, "entry-2", 1)
		other.record(4, answeredRequest)
		is.NoErr(other.stop())
		s := startTestService(t, store, "entry-1", 1)
		_, w := urgentReport(t, s)
		is.Equal(w.Good, uint64(4))
		store.setDown(true)
		for range 60 {
			s.record(1, answeredRequest)
			time.Sleep(10 * time.Second)
		}
		is.True(s.counter("write_failures") != "0")
		writes, err := strconv.Atoi(s.counter("writes"))
		is.NoErr(err)
		is.True(writes > 10 && writes <= 20) // retries continue during the 10 min outage, at most one per 30 s
		r, w := urgentReport(t, s)
		is.Equal(w.Good, uint64(64)) // includes the document read before the outage
		is.True(!r.Complete)
		store.setDown(false)
		time.Sleep(31 * time.Second)
		is.True(s.counter("bytes_written") != "0")
		r, _ = urgentReport(t, s)
		is.True(r.Complete)
		puts := store.puts
		time.Sleep(10 * time.Minute)
		is.Equal(store.puts, puts) // no write without a change
		is.NoErr(s.stop())
	})
}

// Guards against a Stop that hangs or fails while the store is unavailable.
func TestStopWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjectStore()
		s := startTestService(t, store, "entry-1", 1)
		s.record(3, answeredRequest)
		store.setDown(true)
		is.NoErr(s.stop())
		is.Equal(s.counter("writes"), "1")
		_, err := s.ReportJSON(t.Context())
		is.Equal(err, errStopped)
	})
}

// Guards against documents that are never deleted, deleted while reports still
// use them, or deleted by every instance.
func TestOldDocumentsAreDeletedByOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjectStore()
		old := startTestService(t, store, "entry-0", 1)
		old.record(1, answeredRequest)
		is.NoErr(old.stop())
		store.objects["burn/unreadable"] = []byte("?")
		a := startTestService(t, store, "entry-1", 1, "entry-2")
		b := startTestService(t, store, "entry-2", 1, "entry-1")
		for range 24 {
			a.record(1, answeredRequest)
			b.record(1, answeredRequest)
			time.Sleep(time.Hour)
		}
		is.Equal(store.deletes, 0)
		for range 4 {
			a.record(1, answeredRequest)
			b.record(1, answeredRequest)
			time.Sleep(time.Hour)
		}
		is.Equal(store.deletes, 1)
		is.Equal(len(store.objects), 3) // the documents of the two live instances and the unreadable one remain
		r, _ := urgentReport(t, a)
		is.Equal(r.UnreadDocuments, 1)
		is.True(!r.Complete)
		is.NoErr(a.stop())
		is.NoErr(b.stop())
	})
}

// Guards against a Record that blocks on the counting goroutine, and against
// dropped requests that are missing from the report.
func TestRecordDropsInsteadOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vars := new(expvar.Map).Init()
		s := testService{Service: New(Config{Objects: newFakeObjectStore(), Vars: vars}), vars: vars} // run is not started, so the queue fills
		for range eventQueueSize + 7 {
			s.Record(answeredRequest)
		}
		is.Equal(s.counter("requests_dropped"), "7")
		go s.run()
		time.Sleep(2 * tickInterval)
		r, w := urgentReport(t, s)
		is.Equal(w.Good, uint64(eventQueueSize))
		is.Equal(r.Uncounted, uint64(7))
		for n := range 3 { // writes continue after a dropped request
			s.dropped.Add(1)
			time.Sleep(2 * time.Minute)
			is.Equal(s.counter("writes"), strconv.Itoa(n+1))
		}
		is.NoErr(s.Stop(t.Context()))
	})
}

// Guards against planned moves on the bus that are missing from the report.
func TestMovesAreCountedFromTheBus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startTestService(t, newFakeObjectStore(), "entry-1", 1)
		is.NoErr(kernel.Publish(s.kernel.Bus(), control.Change{Kind: "table adopted"}))
		is.NoErr(kernel.Publish(s.kernel.Bus(), control.Change{
			Kind: control.ChangeMovePlanned, Fields: []control.Field{{Name: "action", Value: "add"}, {Name: "cause", Value: "demand"}},
		}))
		synctest.Wait()
		r, _ := urgentReport(t, s)
		is.Equal(r.Moves, []burncodec.Move{{Action: "add", Cause: "demand", Windows: []uint64{1, 1, 1}, Period: 1}})
		is.NoErr(s.stop())
	})
}

// Guards against refusals that are counted in the wrong class, and against
// answers that are measured against the wrong target.
func TestServedRequestsAreClassified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startTestService(t, newFakeObjectStore(), "entry-1", 1)
		for _, code := range []openai.Code{
			openai.CodeOverloaded, openai.CodeQueueFull, openai.CodeDeadlineExceeded, openai.CodeLimitReached,
			openai.CodeNoEndpoint, openai.CodeStopping, openai.CodeModelNotFound, openai.CodeQuarantined,
		} {
			s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeRefused, Code: code})
		}
		s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeFailed, Code: openai.CodeEndpointLost})
		s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeFailed, Code: openai.CodeInProgress})
		s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeCancelled})
		slow := answeredRequest
		slow.TimeToFirstToken, slow.Targets = 500*time.Millisecond, table.Targets{FirstToken: 100 * time.Millisecond}
		s.record(1, slow)
		r, w := urgentReport(t, s)
		is.Equal(w.Refused, burncodec.Refused{Overload: 2, Deadline: 1, Limit: 1, Unavailable: 2, Caller: 3})
		is.Equal([]uint64{w.Failed, w.Cancelled, w.Late, w.Good, w.Asked}, []uint64{1, 1, 1, 0, 12})
		is.Equal(r.Ranks[fleet.Urgent].Targets[0].Missed, uint64(1))
		is.NoErr(s.stop())
	})
}
