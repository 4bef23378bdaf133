// Package owner runs the one goroutine that owns the mutable state of a
// component. Other goroutines hand it functions, which it runs one at a time,
// so that the state needs no mutex.
package owner

import "sync"

// Goroutine runs functions one at a time. Create it with Start.
type Goroutine struct {
	calls chan call
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once
}

type call struct {
	run      func()
	finished chan struct{}
}

// Start returns a running goroutine. Close ends it.
func Start() *Goroutine {
	g := &Goroutine{calls: make(chan call), stop: make(chan struct{}), done: make(chan struct{})}
	go g.loop()
	return g
}

func (g *Goroutine) loop() {
	defer close(g.done)
	for {
		select {
		case c := <-g.calls:
			c.run()
			close(c.finished)
		case <-g.stop:
			return
		}
	}
}

// Do runs f on the goroutine and waits for its end. It reports false, and f
// has not run, if the goroutine is closed. Do must not be called from f.
func (g *Goroutine) Do(f func()) bool {
	c := call{run: f, finished: make(chan struct{})}
	select {
	case g.calls <- c:
		<-c.finished
		return true
	case <-g.done:
		return false
	}
}

// Done returns a channel that is closed when the goroutine has ended.
func (g *Goroutine) Done() <-chan struct{} { return g.done }

// Close ends the goroutine and waits for its end. It may be called repeatedly.
func (g *Goroutine) Close() {
	g.once.Do(func() { close(g.stop) })
	<-g.done
}
