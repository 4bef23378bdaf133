package standinengine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
)

// reportLog holds the newest published report and the later ones.
type reportLog struct {
	reports  []engine.Report
	sequence uint64
}

// publish drops the reports before the newest that is at least lag old, and
// returns the first of the rest.
func (l *reportLog) publish(now time.Time, lag time.Duration) engine.Report {
	for len(l.reports) > 1 && now.Sub(l.reports[1].TakenAt) >= lag {
		l.reports = slices.Delete(l.reports, 0, 1)
	}
	return l.reports[0]
}

// runReports takes a load report at every interval.
func (e *Engine) runReports() {
	for e.sleep(context.Background(), e.config.ReportEvery) {
		e.owner.Do(func() {
			if !e.down {
				e.takeReport(time.Now())
			}
		})
	}
}

func (e *Engine) takeReport(now time.Time) {
	e.reports.sequence++
	r := engine.Report{
		TakenAt: now, Sequence: e.reports.sequence, BootID: e.boot.id, Leaving: e.leaving,
		Running: len(e.batch.running), Waiting: len(e.batch.waiting), Slots: e.config.Slots,
		TokenRate: float64(e.batch.tokens) / e.config.ReportEvery.Seconds(),
		Residents: e.listResidents(),
	}
	e.batch.tokens = 0
	e.reports.reports = append(e.reports.reports, r)
	e.reports.publish(now, e.config.ReportLag)
}

// Report implements engine.Client.
func (e *Engine) Report(context.Context) (engine.Report, error) {
	var out engine.Report
	err := e.read(func() { out = e.reports.publish(time.Now(), e.config.ReportLag) })
	return out, err
}

// State implements engine.Client.
func (e *Engine) State(context.Context) (engine.State, error) {
	var out engine.State
	err := e.read(func() {
		out = engine.State{BootID: e.boot.id, MemoryMB: e.config.MemoryMB, UsedMB: e.usedMB(), Residents: e.listResidents()}
		if e.config.ChecksTokens {
			out.HighestToken = e.highest
		}
	})
	return out, err
}

// CacheEvents implements engine.Client.
func (e *Engine) CacheEvents(_ context.Context, after uint64) ([]engine.CacheEvent, error) {
	var out []engine.CacheEvent
	err := e.read(func() { out = e.cache.published(after, time.Now()) })
	return out, err
}

func (e *Engine) listResidents() []engine.Resident {
	out := make([]engine.Resident, 0, len(e.residents))
	for _, r := range e.residents {
		out = append(out, engine.Resident{
			Name: r.key.name, Base: r.base, Version: r.key.version, MemoryMB: r.memoryMB, Ready: r.ready(), Running: r.users,
		})
	}
	slices.SortFunc(out, func(a, b engine.Resident) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Base, b.Base), cmp.Compare(a.Version, b.Version))
	})
	return out
}
