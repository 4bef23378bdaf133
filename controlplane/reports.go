package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
)

// malformedReportsMetric is the counter of answers whose load report can't be read.
const malformedReportsMetric = "load_reports_malformed"

// malformedLogInterval is the least time between two log lines about malformed load
// reports. Every answer carries one.
const malformedLogInterval = time.Second

type reportSeen struct {
	from   *catalog.Replica
	report *dispatch.Report
	err    error
}

// PostReport passes on the load report in the head of an answer if it states the replica's
// slowness, which is out of date soon. Other reports are passed on with the first byte and
// the end of the answer. err is set if the report is malformed.
func (s *Service) PostReport(from *catalog.Replica, report *dispatch.Report, err error) {
	if err != nil || (report != nil && report.Slowness > 0) {
		s.post(reportSeen{from: from, report: report, err: err})
	}
}

func (e reportSeen) apply(c *core, now time.Time) {
	if e.err == nil {
		c.dispatch.SetReport(now, e.from.ID, *e.report)
		c.serveWaiters(now, e.from.Service)
		return
	}
	c.metrics.Counter(malformedReportsMetric).Add(1)
	c.malformedReports++
	if now.Sub(c.malformedAt) < malformedLogInterval {
		return
	}
	c.log.Warn("load report ignored", "replica", e.from.ID, "error", e.err, "since_last_line", c.malformedReports)
	c.malformedReports, c.malformedAt = 0, now
}
