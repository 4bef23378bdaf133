package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
)

// NoticeSeen reports what a replica asked for in the head of an answer to a request, an
// order or a request for a report.
type NoticeSeen struct {
	From   *catalog.Replica // the replica as it was known at the send
	Notice dispatch.Notice
}

func (e NoticeSeen) apply(c *core, now time.Time) {
	if !c.dispatch.RecordNotice(now, e.From, e.Notice) {
		return
	}
	info := c.dispatch.Replica(e.From.ID)
	c.log.Info("replica leaves", "replica", info.ID, "service", info.Service, "reason", "stated in an answer")
	c.plan.SetReplica(now, info.ID, info)
}

// PostNotice queues a notice for the control goroutine. Most answers carry none.
func (s *Service) PostNotice(from *catalog.Replica, notice dispatch.Notice) {
	if notice != (dispatch.Notice{}) {
		s.post(NoticeSeen{From: from, Notice: notice})
	}
}
