package controlplane

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
)

// Guards against load reports that are dropped without a trace, against a log line for each
// of them, and against a slowness that counts as new again when its answer ends.
func TestReportsOfSharedMachines(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartMillis: 1, Slots: 4}
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{{ID: "r", Version: 1, Replica: r}}, Version: 1}.apply(c, epoch)
	for range 3 {
		reportSeen{from: r, err: errors.New("three or four numbers")}.apply(c, epoch)
	}
	is.Equal(c.metrics.Counter(malformedReportsMetric).Value(), int64(3))
	is.Equal(c.malformedReports, 2) // not logged yet

	report := &dispatch.Report{Slots: 4, Slowness: 2.5}
	reportSeen{from: r, report: report}.apply(c, epoch)
	later := epoch.Add(5 * time.Second)
	req := &dispatch.Request{ID: "q", Route: &catalog.Route{MaxAttempts: 2}, Service: "s", Arrived: later, Deadline: later.Add(time.Second)}
	finish{flight: &Flight{Request: req, Decision: dispatch.Decision{Replica: r}}, outcome: dispatch.Answered, report: report}.apply(c, later)
	is.Equal(c.dispatch.Choose(epoch, req, dispatch.History{}).Slowness, 2.5)
	is.Equal(c.dispatch.Choose(later, req, dispatch.History{}).Slowness, 1.0)
}

// Guards against the load in the head of an answer that counts as new when the answer ends,
// seconds later, and holds requests back although the replica has room.
func TestReportOfEndedAnswerIsOld(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartMillis: 1, Slots: 4}
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{{ID: "r", Version: 1, Replica: r}}, Version: 1}.apply(c, epoch)
	reportSeen{from: r, report: &dispatch.Report{Slots: 4, Slowness: 1}}.apply(c, epoch)
	later := epoch.Add(3 * time.Second)
	req := &dispatch.Request{ID: "q", Route: &catalog.Route{MaxAttempts: 2}, Service: "s", Arrived: later, Deadline: later.Add(time.Second)}
	f := &Flight{Request: req, Decision: dispatch.Decision{Replica: r}, begunAt: epoch}
	finish{flight: f, outcome: dispatch.Answered, report: &dispatch.Report{Running: 4, Waiting: 9, Slots: 4}}.apply(c, later)
	is.Equal(c.dispatch.Choose(later, req, dispatch.History{}).Running, 0)
}
