//go:build linux

package integration

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

const (
	// releaseSeedsVariable names the environment variable with the seeds of
	// TestNoRequestsAfterReleaseBesideTrouble, separated by commas, and releaseRoundsVariable
	// the one with its number of rounds.
	releaseSeedsVariable  = "HYSSOPHAVEN_RELEASE_SEEDS"
	releaseRoundsVariable = "HYSSOPHAVEN_RELEASE_ROUNDS"

	// drainTime is the time within which requests to a replica must end after the store has
	// acknowledged that it leaves (drain-ms). lingerTime is how long it serves beyond that.
	drainTime  = 2 * time.Second
	lingerTime = 1500 * time.Millisecond
	// contactTime is the time after a reset for which an instance does not count as in
	// contact (contact-ms).
	contactTime = 3 * time.Second

	releaseInstances = 6
	releaseEngines   = 12
	callersPerNode   = 6
	// resetShare is the share of an instance's connections that are reset, resetsPerRound
	// times, resetPause apart. releasePause later, a release begins every releaseInterval.
	resetShare       = 0.5
	resetsPerRound   = 5
	resetPause       = 600 * time.Millisecond
	releasePause     = 2600 * time.Millisecond
	releaseInterval  = 3 * time.Second
	releasesPerRound = 8
	// holderPause is shorter than the term of the order lease, 2 s. When it begins, the
	// holder's list of replicas can be up to a second old.
	holderPause    = 1850 * time.Millisecond
	pausesPerRound = 6
	// relayTime is the time after which all instances get the list from the holder again.
	relayTime = 500 * time.Millisecond
	// abruptShare is the share of the replicas whose entry is removed without a notice.
	abruptShare = 0.3
)

// departure is a replica that has left the list.
type departure struct {
	replica *platformtest.Replica
	ackedAt time.Time // when the store had accepted that the replica leaves
	abrupt  bool
}

// releases replaces engines of a fleet beside resets of connections and pauses of the holder
// of the order lease.
type releases struct {
	*edgeFleet
	seed   uint64
	resets *rand.Rand // selects the connections to reset and the times of pauses
	ended  chan struct{}

	wg       sync.WaitGroup
	mu       sync.Mutex // guards the fields below and the list of engines
	rng      *rand.Rand
	active   []*platformtest.Replica
	departed []departure
	senders  map[string]*edgeInstance      // by id of the request
	troubles map[*edgeInstance][]time.Time // resets of its connections, and ends of its pauses
	served   int
	sent     int
}

// Guards against requests that reach a replica later than the drain time after the store has
// accepted that it leaves, because connections of the holder of the order lease were reset, or
// because the holder was paused for less than its lease lasts.
func TestNoRequestsAfterReleaseBesideTrouble(t *testing.T) {
	seeds, rounds := "1", 1
	if text := os.Getenv(releaseSeedsVariable); text != "" {
		seeds = text
	}
	if text := os.Getenv(releaseRoundsVariable); text != "" {
		if _, err := fmt.Sscan(text, &rounds); err != nil {
			t.Fatal(err)
		}
	}
	for _, text := range strings.Split(seeds, ",") {
		t.Run("seed "+text, func(t *testing.T) {
			r := &releases{
				edgeFleet: newEdgeFleet(t), ended: make(chan struct{}), senders: make(map[string]*edgeInstance), troubles: make(map[*edgeInstance][]time.Time),
			}
			if _, err := fmt.Sscan(text, &r.seed); err != nil {
				t.Fatal(err)
			}
			r.rng, r.resets = rand.New(rand.NewPCG(r.seed, 0)), rand.New(rand.NewPCG(r.seed, math.MaxUint64))
			r.play(rounds)
			r.check()
		})
	}
}

func (r *releases) play(rounds int) {
	r.AddEngines(releaseEngines - len(r.Engines))
	r.active = slices.Clone(r.Engines)
	for range releaseInstances {
		r.addInstance()
	}
	r.waitOrderHolder(nil)
	for n, i := range r.instances {
		for c := range callersPerNode {
			r.wg.Go(func() { r.call(i, n*callersPerNode+c) })
		}
	}
	time.Sleep(time.Second)
	for range rounds {
		for range resetsPerRound {
			r.resetHolder()
			time.Sleep(resetPause)
		}
		time.Sleep(releasePause - resetPause)
		for range releasesPerRound {
			r.wg.Go(r.release)
			time.Sleep(releaseInterval)
		}
		for range pausesPerRound {
			time.Sleep(releaseInterval + time.Duration(r.resets.Int64N(int64(time.Second))))
			r.pauseHolder()
			time.Sleep(relayTime)
			r.wg.Go(func() { r.replace(true) })
		}
		time.Sleep(drainTime + lingerTime)
	}
	close(r.ended)
	r.wg.Wait()
}

// call sends requests to an instance until the play ends.
func (r *releases) call(i *edgeInstance, caller int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(caller)+1))
	for n := 0; ; n++ {
		select {
		case <-r.ended:
			return
		case <-time.After(time.Duration(10+rng.IntN(40)) * time.Millisecond):
		}
		request := edgeRequest{Method: http.MethodPost, Path: "/chat/x", ID: fmt.Sprintf("r%d-%d-%d", r.seed, caller, n), Model: []string{"m1", "m2"}[rng.IntN(2)]}
		r.mu.Lock()
		r.senders[request.ID] = i
		r.sent++
		r.mu.Unlock()
		if got := r.send(i, request); got.Err == nil && got.Status == http.StatusOK {
			r.mu.Lock()
			r.served++
			r.mu.Unlock()
		}
	}
}

// lease returns the instance that wrote the order lease last, and the version of its row.
func (r *releases) lease() (*edgeInstance, uint64) {
	r.t.Helper()
	var lease struct{ Holder string }
	value, version := r.Store.Value("hyssophaven-lease", "orders")
	if err := json.Unmarshal(value, &lease); err != nil {
		r.t.Fatalf("read the order lease, version %d: %v", version, err)
	}
	k := slices.IndexFunc(r.instances, func(i *edgeInstance) bool { return i.name == lease.Holder })
	if k < 0 {
		r.t.Fatalf("the order lease has an unknown holder: %s", lease.Holder)
	}
	return r.instances[k], version
}

func (r *releases) recordTrouble(i *edgeInstance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubles[i] = append(r.troubles[i], time.Now())
}

// resetHolder resets connections of the holder of the order lease.
func (r *releases) resetHolder() {
	i, _ := r.lease()
	r.recordTrouble(i)
	r.resetConnections(i)
}

func (r *releases) resetConnections(i *edgeInstance) {
	n, err := resetConnections(i.process, resetShare, r.resets)
	if err != nil {
		r.t.Error(err)
	}
	r.t.Logf("%s: %d connections of %s are reset", time.Now().Format("15:04:05.000"), n, i.name)
}

// pauseHolder pauses the process of the holder of the order lease right after a renewal, and
// resets connections of it meanwhile, so that answers of the store are lost.
func (r *releases) pauseHolder() {
	_, before := r.lease()
	waitFor(r.t, "a renewal of the order lease", func() bool {
		_, version := r.lease()
		return version != before
	})
	i, _ := r.lease()
	r.recordTrouble(i)
	i.pause()
	time.Sleep(holderPause)
	r.resetConnections(i)
	i.resume()
	r.recordTrouble(i)
	r.t.Logf("%s: %s goes on after a pause", time.Now().Format("15:04:05.000"), i.name)
}

// release replaces one or two engines, a second apart.
func (r *releases) release() {
	r.mu.Lock()
	abrupt := make([]bool, 1+r.rng.IntN(2))
	for n := range abrupt {
		abrupt[n] = r.rng.Float64() < abruptShare
	}
	r.mu.Unlock()
	for _, a := range abrupt {
		r.wg.Go(func() { r.replace(a) })
		time.Sleep(time.Second)
	}
}

// replace starts a new engine and has the oldest one leave.
func (r *releases) replace(abrupt bool) {
	r.mu.Lock()
	r.AddEngines(1)
	r.active = append(r.active, r.Engines[len(r.Engines)-1])
	leaving := r.active[0]
	r.active = r.active[1:]
	r.mu.Unlock()
	r.leave(leaving, abrupt)
}

// leave has a replica leave the list, serve on and end.
func (r *releases) leave(leaving *platformtest.Replica, abrupt bool) {
	if abrupt {
		r.Store.Remove(platform.ReplicaTable, leaving.ID)
	} else {
		r.Store.Put(platform.ReplicaTable, leaving.ID, leaving.Row("llm", "z1", "draining"))
	}
	acked := time.Now()
	r.mu.Lock()
	r.departed = append(r.departed, departure{replica: leaving, ackedAt: acked, abrupt: abrupt})
	r.mu.Unlock()
	time.Sleep(drainTime + lingerTime)
	if !abrupt {
		r.Store.Remove(platform.ReplicaTable, leaving.ID)
	}
	leaving.End()
}

// inContact reports whether an instance was without trouble for the contact time before at.
func (r *releases) inContact(i *edgeInstance, at time.Time) bool {
	return !slices.ContainsFunc(r.troubles[i], func(trouble time.Time) bool {
		return !trouble.After(at) && at.Sub(trouble) < contactTime
	})
}

// check fails for each request of an instance in contact that reached a replica too late.
func (r *releases) check() {
	excused, latest := 0, time.Duration(0)
	for _, d := range r.departed {
		for _, run := range d.replica.Runs() {
			sender, late := r.senders[run.ID], run.At.Sub(d.ackedAt)
			if !r.inContact(sender, run.At) {
				if late > drainTime {
					excused++
				}
				continue
			}
			latest = max(latest, late)
			if late > drainTime {
				r.t.Errorf("seed %d: request %s of %s reaches %s %s after it has left, abrupt %t", r.seed, run.ID, sender.name, d.replica.ID, late, d.abrupt)
			}
		}
	}
	r.t.Logf("seed %d: %d replicas left, %d of %d requests served, the last request of an instance in contact %s after the replica has left, %d late ones of others",
		r.seed, len(r.departed), r.served, r.sent, latest.Round(time.Millisecond), excused)
	if float64(r.served) < recoveryServedShare*float64(r.sent) {
		r.t.Errorf("seed %d: %d of %d requests served", r.seed, r.served, r.sent)
	}
}
