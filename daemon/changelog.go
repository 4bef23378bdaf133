package daemon

import (
	"context"
	"expvar"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/kernel"
)

// changeLog logs each change of control state and counts the changes by kind.
type changeLog struct {
	log  *log.Logger
	vars *expvar.Map
}

func newChangeLog(l *log.Logger, vars *expvar.Map) *changeLog {
	for _, kind := range control.ChangeKinds() {
		vars.Add(kind, 0) // exports the counter before the first change
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

func (c *changeLog) write(_ context.Context, change control.Change) {
	c.vars.Add(change.Kind, 1)
	fields := make([]any, 0, 2*len(change.Fields))
	for _, f := range change.Fields {
		fields = append(fields, f.Name, f.Value)
	}
	c.log.Info(change.Kind, fields...)
}
