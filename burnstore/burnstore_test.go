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

// fakeObjects is an object store that can be down.
type fakeObjects struct {
	mu      sync.Mutex
	down    bool
	objects map[string][]byte
	puts    int
	deletes int
}

func newFakeObjects() *fakeObjects { return &fakeObjects{objects: make(map[string][]byte)} }

func (f *fakeObjects) do(call func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return backing.ErrUnavailable
	}
	call()
	return nil
}

func (f *fakeObjects) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	return f.do(func() { f.puts++; f.objects[name] = data })
}

func (f *fakeObjects) Get(_ context.Context, name string) (data []byte, err error) {
	err = f.do(func() { data = f.objects[name] })
	if err == nil && data == nil {
		err = backing.ErrNotFound
	}
	return data, err
}

func (f *fakeObjects) List(_ context.Context, prefix string) (names []string, err error) {
	err = f.do(func() {
		for n := range f.objects {
			if strings.HasPrefix(n, prefix) {
				names = append(names, n)
			}
		}
	})
	return names, err
}

func (f *fakeObjects) Delete(_ context.Context, name string) error {
	return f.do(func() { f.deletes++; delete(f.objects, name) })
}

// started is a service on a kernel of its own.
type started struct {
	*Service
	kernel *kernel.Kernel
	vars   *expvar.Map
	stop   func() error
}

func start(t *testing.T, objects backing.ObjectStore, id fleet.InstanceID, incarnation fleet.Incarnation, alive ...fleet.InstanceID) started {
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
	out := started{Service: s, kernel: k, vars: vars, stop: sync.OnceValue(func() error { return k.Stop(context.Background()) })}
	t.Cleanup(func() { _ = out.stop() }) // ends all goroutines of the bubble also when the test fails
	return out
}

func (s started) counter(name string) string { return s.vars.Get(name).String() }

func (s started) record(n int, r gateway.FinishedRequest) {
	for range n {
		s.Record(r)
	}
	synctest.Wait()
}

// urgentCounts returns what the report says of the urgent rank over an hour.
func urgentCounts(t *testing.T, s started) (burncodec.Report, burncodec.Window) {
	t.Helper()
	data, err := s.ReportJSON(t.Context())
	is.New(t).NoErr(err)
	r, err := burncodec.DecodeReport(data)
	is.New(t).NoErr(err)
	return r, r.Ranks[fleet.Urgent].Windows[1]
}

var answered = gateway.FinishedRequest{Row: "a", Rank: fleet.Urgent, Duration: time.Second}

// Guards against counts that are lost or counted twice when an instance is
// replaced, also under the same name, and against a second writer of a document.
func TestCountsSurviveReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjects()
		first := start(t, store, "entry-1", 1)
		second := start(t, store, "entry-2", 1)
		first.record(10, answered)
		second.record(5, answered)
		is.NoErr(first.stop())
		successor := start(t, store, "entry-1", 2)
		successor.record(3, answered)
		time.Sleep(time.Minute) // all have written
		for range 2 {
			r, w := urgentCounts(t, successor)
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

// Guards against a store outage that loses counts, stops reports, or is met
// with more than one write per interval.
func TestStoreOutageKeepsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjects()
		other := start(t, store, "entry-2", 1)
		other.record(4, answered)
		is.NoErr(other.stop())
		s := start(t, store, "entry-1", 1)
		_, w := urgentCounts(t, s)
		is.Equal(w.Good, uint64(4))
		store.setDown(true)
		for range 60 {
			s.record(1, answered)
			time.Sleep(10 * time.Second)
		}
		is.True(s.counter("write_failures") != "0")
		writes, err := strconv.Atoi(s.counter("writes"))
		is.NoErr(err)
		is.True(writes > 10 && writes <= 20) // at most one every 30 s in 10 min, and still trying
		r, w := urgentCounts(t, s)
		is.Equal(w.Good, uint64(64)) // with what was read before the outage
		is.True(!r.Complete)
		store.setDown(false)
		time.Sleep(31 * time.Second)
		is.True(s.counter("bytes_written") != "0")
		r, _ = urgentCounts(t, s)
		is.True(r.Complete)
		puts := store.puts
		time.Sleep(10 * time.Minute)
		is.Equal(store.puts, puts) // nothing changed, nothing written
		is.NoErr(s.stop())
	})
}

// Guards against a stop that hangs or fails while the store is down.
func TestStopWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjects()
		s := start(t, store, "entry-1", 1)
		s.record(3, answered)
		store.setDown(true)
		is.NoErr(s.stop())
		is.Equal(s.counter("writes"), "1")
		_, err := s.ReportJSON(t.Context())
		is.Equal(err, errStopped)
	})
}

// Guards against documents that are kept for ever, deleted while a report
// still uses them, or deleted by every instance.
func TestOldDocumentsAreDeletedByOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeObjects()
		old := start(t, store, "entry-0", 1)
		old.record(1, answered)
		is.NoErr(old.stop())
		store.objects["burn/unreadable"] = []byte("?")
		a := start(t, store, "entry-1", 1, "entry-2")
		b := start(t, store, "entry-2", 1, "entry-1")
		for range 24 {
			a.record(1, answered)
			b.record(1, answered)
			time.Sleep(time.Hour)
		}
		is.Equal(store.deletes, 0)
		for range 4 {
			a.record(1, answered)
			b.record(1, answered)
			time.Sleep(time.Hour)
		}
		is.Equal(store.deletes, 1)
		is.Equal(len(store.objects), 3) // two live ones and the unreadable one
		r, _ := urgentCounts(t, a)
		is.Equal(r.UnreadDocuments, 1)
		is.True(!r.Complete)
		is.NoErr(a.stop())
		is.NoErr(b.stop())
	})
}

// Guards against requests that wait for the counting goroutine, and against
// dropped ones that the report hides.
func TestRecordDropsInsteadOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vars := new(expvar.Map).Init()
		s := started{Service: New(Config{Objects: newFakeObjects(), Vars: vars}), vars: vars} // nothing takes samples yet
		for range samplesWaiting + 7 {
			s.Record(answered)
		}
		is.Equal(s.counter("requests_dropped"), "7")
		go s.run()
		time.Sleep(2 * tickInterval)
		r, w := urgentCounts(t, s)
		is.Equal(w.Good, uint64(samplesWaiting))
		is.Equal(r.Uncounted, uint64(7))
		for n := range 3 { // a dropped request does not end the writes
			s.dropped.Add(1)
			time.Sleep(2 * time.Minute)
			is.Equal(s.counter("writes"), strconv.Itoa(n+1))
		}
		is.NoErr(s.Stop(t.Context()))
	})
}

// Guards against moves that don't reach the report.
func TestMovesAreCountedFromTheBus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := start(t, newFakeObjects(), "entry-1", 1)
		is.NoErr(kernel.Publish(s.kernel.Bus(), control.Change{Kind: "table adopted"}))
		is.NoErr(kernel.Publish(s.kernel.Bus(), control.Change{
			Kind: control.ChangeMovePlanned, Fields: []control.Field{{Name: "action", Value: "add"}, {Name: "cause", Value: "demand"}},
		}))
		synctest.Wait()
		r, _ := urgentCounts(t, s)
		is.Equal(r.Moves, []burncodec.Move{{Action: "add", Cause: "demand", Windows: []uint64{1, 1, 1}, Period: 1}})
		is.NoErr(s.stop())
	})
}

// Guards against refusals that are counted in the wrong class, and against
// answers that are measured against the wrong target.
func TestServedRequestsAreClassified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := start(t, newFakeObjects(), "entry-1", 1)
		for _, code := range []openai.Code{
			openai.CodeOverloaded, openai.CodeQueueFull, openai.CodeDeadlineExceeded, openai.CodeLimitReached,
			openai.CodeNoEndpoint, openai.CodeStopping, openai.CodeModelNotFound, openai.CodeQuarantined,
		} {
			s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeRefused, Code: code})
		}
		s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeFailed, Code: openai.CodeEndpointLost})
		s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeFailed, Code: openai.CodeInProgress})
		s.record(1, gateway.FinishedRequest{Row: "a", Outcome: gateway.OutcomeCancelled})
		slow := answered
		slow.TimeToFirstToken, slow.Targets = 500*time.Millisecond, table.Targets{FirstToken: 100 * time.Millisecond}
		s.record(1, slow)
		r, w := urgentCounts(t, s)
		is.Equal(w.Refused, burncodec.Refused{Overload: 2, Deadline: 1, Limit: 1, Unavailable: 2, Caller: 3})
		is.Equal([]uint64{w.Failed, w.Cancelled, w.Late, w.Good, w.Asked}, []uint64{1, 1, 1, 0, 12})
		is.Equal(r.Ranks[fleet.Urgent].Targets[0].Missed, uint64(1))
		is.NoErr(s.stop())
	})
}
