package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
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
 {"name":"slow-look","host":"h.example","path-prefix":"/slow-look/","kind":"idempotent","timeout-ms":18000,"goal-ms":15000,"priority":0,"service":"app","attempts":2}`

// loadingModel is a model of the config that putSlowConfig writes. Orders to load it
// are accepted, but the list of replicas never shows it.
const loadingModel = "m3"

// putSlowConfig writes a config with slowRoutes and loadingModel, and waits until all
// instances have it.
func (d *deployment) putSlowConfig() {
	d.t.Helper()
	models := strings.NewReplacer(`"models":[`, `"models":[{"name":"`+loadingModel+`","weights-mb":50000,"load-s":4,"adapters":0},`)
	config := models.Replace(string(platformtest.Config(2, slowRoutes)))
	d.Store.Put(platform.ConfigTable, platform.ConfigKey, json.RawMessage(config))
	for i := range d.instances {
		d.eventually("the slow routes are known", func() bool { return d.do(i, request{Method: "GET", Path: "/slow-look/x"}).Status == http.StatusOK })
	}
}

// stopDuring starts a request, waits until reached reports that it is at the desired
// point, and stops the first instance with shortGrace. It returns the reply.
func (d *deployment) stopDuring(r request, reached func() bool) reply {
	d.t.Helper()
	replies := make(chan reply, 1)
	go func() { replies <- d.do(0, r) }()
	d.eventually("the request is at the point of the stop", reached)
	d.instances[0].node.Bounds.Grace = shortGrace
	if err := d.instances[0].Stop(context.Background()); err != nil {
		d.t.Log("stop:", err)
	}
	return <-replies
}

// Guards against a request that waits for its model at the end of a graceful stop and
// whose connection is closed without an answer.
func TestGracefulStopAnswersRequestWaitingForModel(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	d.putSlowConfig()
	d.eventually("requests wait for the model", func() bool {
		d.do(0, request{Method: "POST", Path: "/slow-chat/x", Model: loadingModel, TimeLeft: 200 * time.Millisecond})
		return strings.Contains(d.logs.String(), `msg="request waits"`)
	})
	got := d.stopDuring(request{Method: "POST", Path: "/slow-chat/x", ID: "waits", Model: loadingModel, Body: "p"}, func() bool {
		return strings.Contains(d.logs.String(), `msg="request waits" request=waits`)
	})
	is.NoErr(got.Err)
	is.Equal(got.Status, http.StatusServiceUnavailable)
	is.Equal(len(d.Runs("waits")), 0)
}
