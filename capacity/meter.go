package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	// minMeasuredTime is the minimum processor time of one measurement.
	minMeasuredTime = 200 * time.Millisecond
	// maxRepeats limits the calls of one measurement.
	maxRepeats = 1 << 22
	// maxCopies limits the copies that are built to measure their memory.
	maxCopies = 64
)

// callMicros returns the mean processor time of one call of f in microseconds,
// including garbage collection. The argument of f is the number of the call.
func (o Options) callMicros(f func(n int)) float64 {
	f(0)
	runtime.GC()
	n, repeats := 1, 1
	for {
		before := processorTime()
		for range repeats {
			f(n)
			n++
		}
		used := processorTime() - before
		if used >= o.duration(minMeasuredTime) || repeats >= maxRepeats {
			return float64(used.Nanoseconds()) / 1e3 / float64(repeats)
		}
		repeats *= 2
		if used > time.Millisecond {
			repeats = max(repeats, int(float64(repeats)*float64(o.duration(minMeasuredTime))/float64(used)/1.5))
		}
		repeats = min(repeats, maxRepeats)
	}
}

// heapBytes returns the heap memory of one value that build returns, as the mean
// over the given number of copies. Small values need more copies to exceed the
// variation of the rest of the heap.
func heapBytes(copies int, build func(n int) any) float64 {
	copies = min(copies, maxCopies)
	built := make([]any, copies)
	before := heapInUse()
	for i := range built {
		built[i] = build(i)
	}
	after := heapInUse()
	runtime.KeepAlive(built)
	return (after - before) / float64(copies)
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureSeries returns the line with a sample for each size.
func measureSeries(l Line, sizes []int, cost func(size int) float64) Line {
	for _, s := range sizes {
		l.Samples = append(l.Samples, Sample{Size: float64(s), Cost: cost(s)})
	}
	return l
}

// indexedName returns the prefix and the number, joined by a hyphen.
func indexedName(prefix string, n int) string { return fmt.Sprintf("%s-%d", prefix, n) }
