package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	first  Part = 1 // shared by all requests
	middle Part = 2
	deadly Part = 7
)

// interval is the time between two exchanges with the holder.
const interval = 250 * time.Millisecond

// instances are the states of a fleet whose first one holds the order lease.
type instances struct {
	now    time.Time
	states []*State
	holder int
}

func newInstances(n int) *instances {
	f := &instances{now: time.Unix(1_000_000, 0)}
	for i := range n {
		f.states = append(f.states, New(uint64(i+1)))
	}
	return f
}

func name(i int) string { return fmt.Sprintf("edge-%d", i) }

// exchange lets an interval pass, in which the holder decides and every instance
// exchanges its state with it.
func (f *instances) exchange() {
	holder := f.states[f.holder]
	f.now = f.now.Add(interval)
	holder.Decide(f.now, Role{Holder: name(f.holder), Settle: 2 * interval})
	for i, s := range f.states {
		if i == f.holder {
			continue
		}
		s.Expire(f.now)
		holder.Merge(f.now, name(i), s.Report(f.now))
		s.Adopt(f.now, holder.DecisionsFor(f.now, name(i)))
	}
}

func (f *instances) exchangeFor(d time.Duration) {
	for range d / interval {
		f.exchange()
	}
}

// crash breaks a request at an instance, with the given parts.
func (f *instances) crash(instance int, replica string, parts ...Part) {
	f.states[instance].RecordBreak(f.now, replica, parts, true)
}

// answer records an answer at an instance that begins now.
func (f *instances) answer(instance int, parts ...Part) {
	f.states[instance].RecordSettled(f.now, "sound", parts)
}

func (f *instances) blocked(instance int, parts ...Part) bool {
	index, _ := f.states[instance].Blocked(f.now, parts)
	return index >= 0
}

// Guards against a part that crashes replicas and is never blocked because each
// instance sees a single crash, and against blocking the parts that it shares with
// sound requests.
func TestPartIsBlockedWhenEachInstanceSeesOneCrash(t *testing.T) {
	is := is.New(t)
	f := newInstances(6)
	for i := range 3 {
		f.crash(i+1, fmt.Sprint("replica-", i), first, deadly)
		f.exchange()
		f.answer(4, first)
	}
	f.exchangeFor(4 * interval)
	for i := range f.states {
		is.True(f.blocked(i, first, deadly))
		is.True(!f.blocked(i, first, middle))
	}
}

// Guards against blocking a part that an answer at another instance has cleared, although
// the instances that saw it crash have not.
func TestAnswerAtAnotherInstanceClearsPart(t *testing.T) {
	is := is.New(t)
	f := newInstances(4)
	for i := range 5 {
		f.crash(1+i%2, fmt.Sprint("replica-", i), middle)
		f.exchange()
		f.answer(3, middle)
		f.exchange()
	}
	f.exchangeFor(time.Second)
	for i := range f.states {
		is.True(!f.blocked(i, middle))
	}
}

// Guards against blocking a rare sound part because it was in the same requests as a
// part that crashes replicas.
func TestCrashesOfBlockedPartAreNotBlamedOnOthers(t *testing.T) {
	is := is.New(t)
	f := newInstances(3)
	for i := range 6 {
		parts := []Part{deadly}
		if i%2 == 0 {
			parts = append(parts, middle)
		}
		f.crash(1, fmt.Sprint("replica-", i), parts...)
	}
	f.exchangeFor(2 * time.Second)
	is.True(f.blocked(2, deadly))
	is.True(!f.blocked(2, middle))
}

// Guards against refusing the sound requests that share parts with a crashing one when
// these parts have come with it only, and against letting it through with other parts for
// ever.
func TestPartsInCommonAreBlockedOnlyTogether(t *testing.T) {
	is := is.New(t)
	f := newInstances(4)
	for i := range 3 {
		f.crash(1+i, fmt.Sprint("replica-", i), first, middle, deadly)
	}
	f.exchangeFor(2 * time.Second)
	for i := range f.states {
		is.True(f.blocked(i, first, middle, deadly))
		is.True(!f.blocked(i, first, middle))
	}
	f.crash(2, "another", deadly, 33)
	f.exchangeFor(time.Second)
	for i := range f.states {
		is.True(f.blocked(i, deadly))
		is.True(!f.blocked(i, first, middle, 33))
	}
}

// Guards against a part that stays blocked together with sound ones after answers have
// cleared these.
func TestAnswersLeaveOnlyTheCrashingPartBlocked(t *testing.T) {
	is := is.New(t)
	f := newInstances(3)
	for i := range 3 {
		f.crash(1, fmt.Sprint("replica-", i), first, middle, deadly)
	}
	f.exchangeFor(2 * time.Second)
	is.True(!f.blocked(2, middle, deadly))
	f.answer(2, first, middle)
	f.exchangeFor(time.Second)
	for i := range f.states {
		is.True(f.blocked(i, deadly))
		is.True(!f.blocked(i, first, middle))
	}
}

// Guards against counting several records of one crash as several crashes.
func TestOneCrashSeenByAllInstancesIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := newInstances(6)
	for i := range f.states {
		f.crash(i, "replica", deadly)
		f.crash(i, "replica", deadly, middle)
	}
	f.exchangeFor(2 * time.Second)
	is.True(!f.blocked(0, deadly))
}

// Guards against taking broken connections of a replica that keeps answering for
// crashes.
func TestBrokenConnectionOfLiveReplicaIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := newInstances(2)
	for i := range 6 {
		f.crash(1, fmt.Sprint("replica-", i), deadly)
		f.exchange()
		f.states[1].RecordSettled(f.now, fmt.Sprint("replica-", i), []Part{first})
	}
	f.exchangeFor(2 * time.Second)
	is.True(!f.blocked(1, deadly))
}

// Guards against blaming the requests that were queued on a replica for the crash that
// another one caused when its answer began, also if another instance sent that one.
func TestRequestsWithoutAnswerAreNotBlamed(t *testing.T) {
	is := is.New(t)
	f := newInstances(3)
	for i := range 4 {
		replica := fmt.Sprint("replica-", i)
		f.crash(1, replica, deadly)
		f.states[1].RecordBreak(f.now, replica, []Part{first}, false)
		f.states[2].RecordBreak(f.now, replica, []Part{middle}, false)
	}
	alone := f.states[2]
	alone.Decide(f.now, Role{}) // while it hears of no holder
	is.True(!f.blocked(2, middle))
	f.exchangeFor(2 * time.Second)
	is.True(f.blocked(0, deadly))
	is.True(!f.blocked(0, first))
	is.True(!f.blocked(0, middle))
}

// blockDeadly crashes three replicas and waits until the part is blocked.
func blockDeadly(t *testing.T, f *instances) {
	t.Helper()
	for i := range blockCrashes {
		f.crash(1, fmt.Sprint("replica-", i), deadly)
	}
	f.exchangeFor(2 * time.Second)
	if !f.blocked(len(f.states)-1, deadly) {
		t.Fatal("the part is not blocked")
	}
}

// sendProbes sends a request with the part at each instance that admits one, and returns
// their number.
func sendProbes(f *instances) (sent int) {
	for i, s := range f.states {
		if !f.blocked(i, deadly) {
			s.RecordSend([]Part{deadly})
			sent++
		}
	}
	return sent
}

// Guards against several requests that try a blocked part at once, and against a part
// that is tried at the same rate for ever.
func TestFailedProbesBecomeRarer(t *testing.T) {
	is := is.New(t)
	f := newInstances(5)
	blockDeadly(t, f)
	crashes := 0
	for range 10 * time.Minute / interval {
		f.exchange()
		sent := sendProbes(f)
		is.True(sent <= 1)
		if sent > 0 {
			crashes++
			f.crash(2, fmt.Sprint("probe-", crashes), deadly)
		}
	}
	is.True(crashes >= 2 && crashes <= 5) // after about 30 s, 1.5, 3.5 and 7.5 min
}

// Guards against a part that stays blocked although it crashes replicas no longer.
func TestSuccessfulProbeUnblocksPart(t *testing.T) {
	is := is.New(t)
	f := newInstances(5)
	blockDeadly(t, f)
	for range time.Minute / interval {
		f.exchange()
		if sendProbes(f) > 0 {
			f.answer(3, deadly)
			break
		}
	}
	f.exchangeFor(time.Second)
	for i := range f.states {
		is.True(!f.blocked(i, deadly))
	}
}

// Guards against a probe that is lost because the instance that has it gets no request
// with the part.
func TestUnusedProbePassesToAnotherInstance(t *testing.T) {
	is := is.New(t)
	f := newInstances(4)
	blockDeadly(t, f)
	f.exchangeFor(blockTime)
	admitting := make(map[int]bool)
	for range 4 * probeTime / interval {
		f.exchange()
		for i := range f.states {
			if !f.blocked(i, deadly) {
				admitting[i] = true
			}
		}
	}
	is.True(len(admitting) > 1)
}

// Guards against a part that is sent again after the holder of the order lease, or an
// instance, has restarted.
func TestBlockSurvivesRestarts(t *testing.T) {
	is := is.New(t)
	f := newInstances(4)
	blockDeadly(t, f)
	f.states[0] = New(100) // the holder restarts, and another instance takes the lease
	f.holder = 2
	f.exchange()
	f.exchange()
	is.True(f.blocked(0, deadly))
	is.True(f.blocked(2, deadly))
	f.states[1] = New(101)
	f.exchange()
	is.True(f.blocked(1, deadly))
}

// Guards against a restarted instance whose crashes the holder ignores, because it takes
// their numbers for old ones.
func TestRestartedInstanceReportsItsCrashes(t *testing.T) {
	is := is.New(t)
	f := newInstances(2)
	for i := range 2 {
		f.crash(1, fmt.Sprint("replica-", i), deadly, middle)
		f.crash(1, fmt.Sprint("replica-", i), first)
	}
	f.exchange()
	f.states[1] = New(50)
	for i := range blockCrashes {
		f.crash(1, fmt.Sprint("other-", i), deadly)
	}
	f.exchangeFor(2 * time.Second)
	is.True(f.blocked(1, deadly))
}

// Guards against memory and messages that grow with the parts of prompts and the number
// of crashes, and against a crash with many parts that is never reported.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newInstances(2)
	for i := range 3 * maxCrashes {
		parts := make([]Part, 0, 3*maxCrashParts)
		for j := range cap(parts) {
			parts = append(parts, Part(1000+i*cap(parts)+j))
		}
		f.crash(1, fmt.Sprint("replica-", i), append(parts[:500], deadly)...)
	}
	s := f.states[1]
	is.True(len(s.crashes) <= maxCrashes && countParts(s.crashes) <= maxOwnParts)
	for range 2 * maxCrashes {
		reported := 0
		for _, c := range s.Report(f.now).Crashes {
			reported += len(c.Parts)
		}
		is.True(reported <= maxReportedParts)
		f.exchange()
		is.True(len(s.suspected) <= maxSuspected)
	}
	is.Equal(len(s.Report(f.now).Crashes), 0) // the holder has all
	is.True(f.blocked(1, deadly))
	f.exchangeFor(2*retention + maxBlockAge)
	is.Equal(len(s.cleared), 0)
	is.Equal(len(f.states[0].cleared), 0)
	is.Equal(len(f.states[0].fleet.instances[name(1)].crashes), 0)
}

// Guards against a sound part that stays blocked because its probes go to instances that
// get no request with it: its caller keeps a connection to one instance.
func TestProbeReachesInstanceThatGetsThePart(t *testing.T) {
	is := is.New(t)
	f := newInstances(90)
	blockDeadly(t, f)
	f.exchangeFor(blockTime)
	admitted := false
	for i := range time.Minute / interval {
		f.now = f.now.Add(interval)
		f.states[0].Decide(f.now, Role{Holder: name(0), Settle: 2 * interval})
		for j := range len(f.states) - 1 {
			n := 1 + (j+37*int(i))%(len(f.states)-1) // another instance is the first each time
			f.states[0].Merge(f.now, name(n), f.states[n].Report(f.now))
			f.states[n].Adopt(f.now, f.states[0].DecisionsFor(f.now, name(n)))
		}
		admitted = admitted || !f.blocked(70, deadly)
	}
	is.True(admitted)
}

// Guards against blocking the parts of most requests when all replicas fail at once: of
// the answers that an instance reports while a part is suspected, only those since the
// suspicion count, not those since its last report while another part was blocked.
func TestAnswersBeforeSuspicionAreNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newInstances(6)
	f.answer(4, first)
	blockDeadly(t, f)
	for range 5 * time.Second / interval { // nothing is suspected
		for range 10 {
			f.answer(4, first, middle)
		}
		f.exchange()
	}
	for i := range 5 { // all replicas fail, and no request is answered
		f.crash(1+i%3, fmt.Sprint("failed-", i), first)
	}
	f.exchangeFor(2 * time.Second)
	is.True(!f.blocked(0, first))
}

// Guards against a crashing part that is never blocked because the prompts of the
// crashed replica had more parts than are kept of a crash.
func TestCrashingPartOfLongPromptsIsBlocked(t *testing.T) {
	is := is.New(t)
	const last = ^Part(0) // of the parts of a crash, those with the lowest hashes are kept
	f := newInstances(3)
	for i := range 5 {
		parts := []Part{last}
		for j := range maxCrashParts + 100 {
			parts = append(parts, Part(1000+i*2*maxCrashParts+j))
		}
		f.crash(1+i%2, fmt.Sprint("replica-", i), parts...)
		f.exchange()
		f.exchange()
	}
	f.exchangeFor(2 * time.Second)
	is.True(f.blocked(1, last))
}

// Guards against a sound part that is blocked when an instance takes the order lease
// again: it has the crashes of another instance from its last term, but not the answers
// that have cleared the part since.
func TestFormerHolderDoesNotBlockByOldSuspicion(t *testing.T) {
	is := is.New(t)
	f := newInstances(4)
	for i := range blockCrashes {
		f.crash(1, fmt.Sprint("replica-", i), middle)
	}
	f.exchange()
	f.exchange() // the part is announced, and not blocked yet
	f.holder = 2
	for range 10 * time.Second / interval {
		f.exchange()
		f.answer(3, middle)
	}
	f.holder = 0
	f.exchange()
	for i := range f.states {
		is.True(!f.blocked(i, middle))
	}
}

// Guards against a block that never ends because another instance has sent times that
// can't be.
func TestBlockWithInvalidTimesEnds(t *testing.T) {
	is := is.New(t)
	f := newInstances(2)
	f.states[0].Merge(f.now, name(1), Report{Incarnation: 1, Blocked: []Block{{Parts: []Part{middle}, Wait: 1000 * time.Hour, LastCrashAge: -1000 * time.Hour}}})
	is.True(f.blocked(0, middle))
	f.exchangeFor(maxBlockAge + time.Minute)
	is.True(!f.blocked(0, middle))
}
