package standinengine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
)

// reportLog holds the latest published load report and the newer, unpublished ones.
type reportLog struct {
	reports  []engine.Report
	sequence uint64
}

// publishedReport returns the newest report that is at least lag old, or the oldest
// report if none is, and drops the reports before it.
func (l *reportLog) publishedReport(now time.Time, lag time.Duration) engine.Report {
	for len(l.reports) > 1 && now.Sub(l.reports[1].TakenAt) >= lag {
		l.reports = slices.Delete(l.reports, 0, 1)
	}
	return l.reports[0]
}

// runReports records a load report every Config.ReportInterval while the engine is up.
func (e *Engine) runReports() {
	for e.sleep(context.Background(), e.config.ReportInterval) {
		e.owner.Do(func() {
			if !e.down {
				e.recordReport(time.Now())
			}
		})
	}
}

func (e *Engine) recordReport(now time.Time) {
	e.reports.sequence++
	r := engine.Report{
		TakenAt: now, Sequence: e.reports.sequence, BootID: e.boot.id, Leaving: e.leaving,
		Running: len(e.batch.running), Waiting: len(e.batch.waiting), Slots: e.config.Slots,
		TokenRate: float64(e.batch.tokensSinceReport) / e.config.ReportInterval.Seconds(),
		Residents: e.listResidents(),
	}
	e.batch.tokensSinceReport = 0
	e.reports.reports = append(e.reports.reports, r)
	e.reports.publishedReport(now, e.config.ReportLag)
}

// Report implements engine.Client.
func (e *Engine) Report(context.Context) (engine.Report, error) {
	var out engine.Report
	err := e.doIfUp(func() { out = e.reports.publishedReport(time.Now(), e.config.ReportLag) })
	return out, err
}

// State implements engine.Client.
func (e *Engine) State(context.Context) (engine.State, error) {
	var out engine.State
	err := e.doIfUp(func() {
		out = engine.State{BootID: e.boot.id, MemoryMB: e.config.MemoryMB, UsedMB: e.usedMB(), Residents: e.listResidents()}
		if e.config.ChecksTokens {
			out.HighestToken = e.highestToken
		}
	})
	return out, err
}

// CacheEvents implements engine.Client.
func (e *Engine) CacheEvents(_ context.Context, after uint64) ([]engine.CacheEvent, error) {
	var out []engine.CacheEvent
	err := e.doIfUp(func() { out = e.cache.publishedEvents(after, time.Now()) })
	return out, err
}

func (e *Engine) listResidents() []engine.Resident {
	out := make([]engine.Resident, 0, len(e.residents))
	for _, r := range e.residents {
		out = append(out, engine.Resident{
			Name: r.key.name, Base: r.base, Version: r.key.version, MemoryMB: r.memoryMB, Ready: r.ready(), Running: r.userCount,
		})
	}
	slices.SortFunc(out, func(a, b engine.Resident) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Base, b.Base), cmp.Compare(a.Version, b.Version))
	})
	return out
}
