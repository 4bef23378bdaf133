package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	// measuredTime is the least processor time of one measurement.
	measuredTime = 200 * time.Millisecond
	// maxRepeats bounds the calls of one measurement.
	maxRepeats = 1 << 22
	// maxKept bounds what is built to measure its memory.
	maxKept = 64
)

// microseconds returns the processor time of one call of f, collection of its
// garbage included, in microseconds. f gets the number of the call.
func (o Options) microseconds(f func(n int)) float64 {
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
		if used >= o.duration(measuredTime) || repeats >= maxRepeats {
			return float64(used.Nanoseconds()) / 1e3 / float64(repeats)
		}
		repeats *= 2
		if used > time.Millisecond {
			repeats = max(repeats, int(float64(repeats)*float64(o.duration(measuredTime))/float64(used)/1.5))
		}
		repeats = min(repeats, maxRepeats)
	}
}

// heapBytes returns the memory of what build returns. Small things are built
// often enough to stand out from the rest of the heap.
func heapBytes(copies int, build func(n int) any) float64 {
	copies = min(copies, maxKept)
	kept := make([]any, copies)
	before := heapInUse()
	for i := range kept {
		kept[i] = build(i)
	}
	after := heapInUse()
	runtime.KeepAlive(kept)
	return (after - before) / float64(copies)
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// series measures one line at every size.
func series(l Line, sizes []int, cost func(size int) float64) Line {
	for _, s := range sizes {
		l.Samples = append(l.Samples, Sample{Size: float64(s), Cost: cost(s)})
	}
	return l
}

func name(prefix string, n int) string { return fmt.Sprintf("%s-%d", prefix, n) }
