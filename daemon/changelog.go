package daemon

import (
	"context"
	"expvar"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/kernel"
)

// changeLog writes a line for each change of control state and counts them.
type changeLog struct {
	log  *log.Logger
	vars *expvar.Map
}

func newChangeLog(l *log.Logger, vars *expvar.Map) *changeLog {
	for _, what := range control.ChangeNames() {
		vars.Add(what, 0) // exported from the start
	}
	return &changeLog{log: l, vars: vars}
}

// Name implements kernel.Service.
func (c *changeLog) Name() string { return "changes" }

// Requires implements kernel.Service.
func (c *changeLog) Requires() []string { return nil }

// Start implements kernel.Service.
func (c *changeLog) Start(_ context.Context, k *kernel.Kernel) error {
	return kernel.Subscribe(k.Bus(), "changes.log", c.write)
}

// Stop implements kernel.Service.
func (c *changeLog) Stop(context.Context) error { return nil }

func (c *changeLog) write(_ context.Context, ch control.Change) {
	c.vars.Add(ch.What, 1)
	fields := make([]any, 0, 2*len(ch.Detail))
	for _, f := range ch.Detail {
		fields = append(fields, f.Name, f.Value)
	}
	c.log.Info(ch.What, fields...)
}
