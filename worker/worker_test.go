package worker

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against tasks that start while the group is stopped and keep running
// after Stop has returned. The race detector also reports a start that is not
// synchronized with Stop.
func TestNoTaskStartsAfterStop(t *testing.T) {
	is := is.New(t)
	for range 200 {
		g := NewGroup()
		var running atomic.Int64
		begin, end := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(end)
			<-begin
			for range 20 {
				g.Go(func(ctx context.Context) {
					running.Add(1)
					<-ctx.Done()
					running.Add(-1)
				})
			}
		}()
		close(begin)
		is.NoErr(g.Stop(t.Context()))
		is.Equal(running.Load(), int64(0))
		<-end
		is.Equal(running.Load(), int64(0))
	}
}
