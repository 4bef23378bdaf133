package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
)

// noticesMetric is the counter of answers with a notice, by kind.
const noticesMetric = "replica_notices"

// initNoticeCounters creates the counters of notices with the value 0, so that a rate
// can be computed over the first increment.
func (c *core) initNoticeCounters() {
	for _, kind := range []string{"leaving", "backoff", "invalid"} {
		c.metrics.Counter(noticesMetric, "kind", kind)
	}
}

// NoticeSeen reports what a replica asked for in the head of an answer to a request, an
// order or a request for a report.
type NoticeSeen struct {
	From   *catalog.Replica // the replica as it was known at the send
	Notice dispatch.Notice
	// Err is set if a header is malformed. Notice has the others.
	Err error
}

func (e NoticeSeen) apply(c *core, now time.Time) {
	id := e.From.ID
	if e.Err != nil {
		c.metrics.Counter(noticesMetric, "kind", "invalid").Add(1)
		c.log.Warn("answer header ignored", "replica", id, "error", e.Err)
	}
	if e.Notice.Leaving {
		c.metrics.Counter(noticesMetric, "kind", "leaving").Add(1)
	}
	if e.Notice.Backoff > 0 {
		c.metrics.Counter(noticesMetric, "kind", "backoff").Add(1)
	}
	news := c.dispatch.RecordNotice(now, e.From, e.Notice)
	info := c.dispatch.Replica(id)
	if info == nil {
		return
	}
	if news.Leaving {
		c.log.Info("replica leaves", "replica", id, "service", info.Service, "reason", "stated in an answer")
		c.plan.SetReplica(now, id, info)
	}
	if news.Backoff > 0 {
		c.log.Info("replica backs off", "replica", id, "service", info.Service, "wait", news.Backoff)
	}
	c.plan.SetBackoff(id, c.dispatch.BackoffUntil(id))
}

// PostNotice queues a notice for the control goroutine. Most answers carry none. err is
// set if a header of the answer is malformed.
func (s *Service) PostNotice(from *catalog.Replica, notice dispatch.Notice, err error) {
	if notice != (dispatch.Notice{}) || err != nil {
		s.post(NoticeSeen{From: from, Notice: notice, Err: err})
	}
}
