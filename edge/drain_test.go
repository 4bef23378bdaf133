package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// shortGrace is a grace time that leaves little time between the end of balancerWait
// of package ingress and the end of the drain.
const shortGrace = 3200 * time.Millisecond

// slowRoutes are routes whose timeouts and latency targets exceed shortGrace.
const slowRoutes = `,{"name":"slow-chat","host":"h.example","path-prefix":"/slow-chat/","kind":"stream","timeout-ms":18000,"goal-ms":15000,"priority":0,"service":"llm","attempts":2,"resumable":true},
 {"name":"slow-once","host":"h.example","path-prefix":"/slow-once/","kind":"stream","timeout-ms":18000,"goal-ms":15000,"priority":0,"service":"llm","attempts":1},
 {"name":"slow-book","host":"h.example","path-prefix":"/slow-book/","kind":"non_idempotent","timeout-ms":18000,"goal-ms":15000,"priority":0,"service":"app","attempts":1},
 {"name":"slow-look","host":"h.example","path-prefix":"/slow-look/","kind":"idempotent","timeout-ms":18000,"goal-ms":15000,"priority":0,"service":"app","attempts":2}`

// loadingModel is a model of slowConfig. Orders to load it
// are accepted, but the list of replicas never shows it.
const loadingModel = "m3"

// slowConfig returns a config with slowRoutes and loadingModel. The pairs of old and
// new texts in edits change it.
func slowConfig(version int, edits ...string) json.RawMessage {
	edits = append(edits, `"models":[`, `"models":[{"name":"`+loadingModel+`","weights-mb":50000,"load-s":4,"adapters":0},`)
	return json.RawMessage(strings.NewReplacer(edits...).Replace(string(platformtest.Config(version, slowRoutes))))
}

// putSlowConfig writes slowConfig and waits until all instances have it.
func (d *deployment) putSlowConfig() {
	d.t.Helper()
	d.Store.Put(platform.ConfigTable, platform.ConfigKey, slowConfig(2))
	for i := range d.instances {
		d.eventually("the slow routes are known", func() bool { return d.do(i, request{Method: "GET", Path: "/slow-look/x"}).Status == http.StatusOK })
	}
}

// loadModel has loadingModel loaded, and returns when requests wait for it.
func (d *deployment) loadModel() {
	d.t.Helper()
	d.eventually("requests wait for the model", func() bool {
		d.do(0, request{Method: "POST", Path: "/slow-chat/x", Model: loadingModel, TimeLeft: 200 * time.Millisecond})
		return strings.Contains(d.logs.String(), `msg="request waits"`)
	})
}

// stopDuring starts requests, waits until reached reports that they are at the desired
// point, and stops the first instance with shortGrace. It returns the replies.
func (d *deployment) stopDuring(reached func() bool, requests ...request) []reply {
	d.t.Helper()
	replies := make([]reply, len(requests))
	var wg sync.WaitGroup
	for n, r := range requests {
		wg.Go(func() { replies[n] = d.do(0, r) })
	}
	d.eventually("the requests are at the point of the stop", reached)
	d.instances[0].node.Bounds.Grace = shortGrace
	if err := d.instances[0].Stop(context.Background()); err != nil {
		d.t.Log("stop:", err)
	}
	wg.Wait()
	return replies
}

// Guards against a request that waits for its model at the end of a graceful stop and
// whose connection is closed without an answer.
func TestGracefulStopAnswersRequestWaitingForModel(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	d.putSlowConfig()
	d.loadModel()
	waits := func() bool { return strings.Contains(d.logs.String(), `msg="request waits" request=waits`) }
	got := d.stopDuring(waits, request{Method: "POST", Path: "/slow-chat/x", ID: "waits", Model: loadingModel, Body: "p"})[0]
	is.NoErr(got.Err)
	is.Equal(got.Status, http.StatusServiceUnavailable)
	is.Equal(len(d.Runs("waits")), 0)
}

// Guards against a request whose replica has not begun to answer at the end of a
// graceful stop and whose connection is closed without an answer.
func TestGracefulStopAnswersRequestWithoutReplicaAnswer(t *testing.T) {
	is := is.NewRelaxed(t)
	d := startDeployment(t, 1)
	d.putSlowConfig()
	for _, r := range append(d.Engines, d.Apps...) {
		r.QueueFaults(platformtest.NeverAnswer, platformtest.NeverAnswer)
	}
	requests := []request{
		{Method: "POST", Path: "/slow-book/x", ID: "book"}, {Method: "GET", Path: "/slow-look/x", ID: "look"},
		{Method: "POST", Path: "/slow-once/x", ID: "once", Model: "m1"}, {Method: "POST", Path: "/slow-chat/x", ID: "chat", Model: "m1"},
	}
	run := func() bool {
		return len(d.Runs("book")) == 1 && len(d.Runs("look")) == 1 && len(d.Runs("once")) == 1 && len(d.Runs("chat")) == 1
	}
	for n, got := range d.stopDuring(run, requests...) {
		is.NoErr(got.Err)
		is.True(got.Status == http.StatusBadGateway || got.Status == http.StatusGatewayTimeout)
		is.Equal(len(d.Runs(requests[n].ID)), 1)
	}
}
