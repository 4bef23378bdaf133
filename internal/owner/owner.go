// Package owner runs the single goroutine that owns the mutable state of a
// component. Other goroutines submit functions to it, which it runs one at a
// time, so that the state needs no mutex.
package owner

import "sync"

// Goroutine runs submitted functions one at a time. Create it with Start.
type Goroutine struct {
	calls     chan call
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

type call struct {
	run      func()
	finished chan struct{}
}

// Start starts a Goroutine. The caller must call Close to stop it.
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

// Do runs f on the goroutine and waits until f returns. It returns false without
// running f if the goroutine has stopped. Calling Do from f deadlocks.
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

// Done returns a channel that is closed when the goroutine has stopped.
func (g *Goroutine) Done() <-chan struct{} { return g.done }

// Close stops the goroutine and waits until it has stopped. It can be called more
// than once.
func (g *Goroutine) Close() {
	g.closeOnce.Do(func() { close(g.stop) })
	<-g.done
}
