package worker

import (
	"context"

	"github.com/hyssophaven/hyssophaven/kernel"
)

// Subscribe runs handle in a new goroutine of g for each event of type E, so that
// handlers can block on I/O and run concurrently. name must be unique on the bus.
func Subscribe[E any](g *Group, b *kernel.Bus, name string, handle func(context.Context, E)) error {
	return kernel.Subscribe(b, name, func(_ context.Context, ev E) {
		g.Go(func(ctx context.Context) { handle(ctx, ev) })
	})
}
