package edge

import (
	"context"
	"testing"
	"time"
)

// checkContained waits until the sound requests beside a crashing part have been
// measured, and checks the users' bounds for the part and for sound requests with the
// given first parts.
func (l *crashLoad) checkContained(part string, disturbedFrom time.Time, firsts ...string) {
	l.t.Helper()
	l.untilAfterBlame(part, 2*contactTime+measuredTime)
	blamed := l.blameTime(part)
	l.checkFewArrivals(part, time.Now())
	for _, first := range firsts {
		l.checkSoundShare(first, disturbedFrom, blamed)
	}
	l.checkStatuses()
}

// Guards against replicas that crash one after the other on a prompt part that comes
// in ever new requests at all instances, and against refusing the sound requests that
// share the prompt's first part and its caller.
func TestCrashingPartIsContained(t *testing.T) {
	t.Parallel()
	l := startCrashLoad(t, 4)
	l.loadAll(soundInterval, append(soundPrompts("one"), soundPrompts("two")...)...)
	time.Sleep(undisturbedTime)
	disturbed := time.Now()
	l.parts.SetDeadly("bad", true)
	l.loadAll(taintedInterval, "one:40,bad:30", "two:40,bad:30", "one:40,mid1:30,bad:20")
	l.checkContained("bad", disturbed, "one", "two")
}

// Guards against an instance that forgets a crashing part when it restarts, or keeps
// the others from agreeing on it.
func TestCrashingPartIsContainedAcrossRestart(t *testing.T) {
	t.Parallel()
	l := startCrashLoad(t, 4)
	l.loadAll(soundInterval, soundPrompts("one")...)
	time.Sleep(undisturbedTime)
	disturbed := time.Now()
	l.parts.SetDeadly("bad", true)
	l.loadAll(taintedInterval, "one:40,bad:30", "one:40,mid1:30,bad:20")
	l.untilAfterBlame("bad", contactTime/2)
	l.restart(1)
	restarted := time.Now()
	l.untilAfterBlame("bad", 2*contactTime)
	time.Sleep(time.Until(restarted.Add(contactTime))) // until the instance is in touch again
	l.checkContained("bad", disturbed, "one")
}

// Guards against an instance that starts after a part has crashed replicas and sends
// requests with it.
func TestLateInstanceDoesNotSendCrashingPart(t *testing.T) {
	t.Parallel()
	l := startCrashLoad(t, 3)
	l.loadAll(soundInterval, soundPrompts("one")...)
	time.Sleep(undisturbedTime)
	disturbed := time.Now()
	l.parts.SetDeadly("bad", true)
	l.loadAll(taintedInterval, "one:40,bad:30")
	l.untilAfterBlame("bad", contactTime)
	from := time.Now()
	l.addInstance()
	late := len(l.nodes) - 1
	l.addOutage(late, from)
	l.load(context.Background(), late, soundInterval, soundPrompts("one")...)
	l.load(context.Background(), late, taintedInterval, "one:40,bad:30")
	time.Sleep(contactTime)
	l.checkContained("bad", disturbed, "one")
}

// Guards against a second crashing part that is not found because the first one is
// involved in the same crashes. One is a first part, the other a middle one.
func TestTwoCrashingPartsAreContained(t *testing.T) {
	t.Parallel()
	l := startCrashLoad(t, 3)
	l.loadAll(soundInterval, append(soundPrompts("one"), soundPrompts("two")...)...)
	time.Sleep(undisturbedTime)
	disturbed := time.Now()
	l.parts.SetDeadly("bad", true)
	l.parts.SetDeadly("worse", true)
	l.loadAll(taintedInterval, "one:40,bad:30", "two:40,mid1:30,bad:30")
	l.loadAll(taintedInterval, "worse:40,mid1:30", "worse:40,mid2:30")
	l.untilAfterBlame("worse", contactTime)
	l.checkContained("bad", disturbed, "one", "two")
	l.checkFewArrivals("worse", time.Now())
}

// Guards against a second crashing part that is not found because another one is
// blamed already, and which was sound until then.
func TestCrashingPartAfterAnotherIsContained(t *testing.T) {
	t.Parallel()
	l := startCrashLoad(t, 3)
	l.loadAll(soundInterval, append(soundPrompts("one"), soundPrompts("two")...)...)
	time.Sleep(undisturbedTime)
	disturbed := time.Now()
	l.parts.SetDeadly("worse", true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range l.nodes {
		l.load(ctx, i, taintedInterval, "worse:40,mid1:30", "worse:40,mid2:30")
	}
	l.loadAll(taintedInterval, "one:40,bad:30", "two:40,mid1:30,bad:30")
	l.untilAfterBlame("worse", contactTime+time.Second)
	l.checkFewArrivals("worse", time.Now())
	cancel()
	l.parts.SetDeadly("bad", true)
	l.checkContained("bad", disturbed, "one", "two")
}
