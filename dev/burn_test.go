package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/burn/burncodec"
	"github.com/hyssophaven/hyssophaven/daemon"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/operator"
)

// postChat requests a chat completion of one token and returns the response status.
func postChat(t *testing.T, i *daemon.Instance, model string) int {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Is Saturday free?"}],"max_tokens":1}`, model)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.Self().CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	is.New(t).NoErr(err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode
}

func burnReport(t *testing.T, r *Running, i *daemon.Instance) burncodec.Report {
	t.Helper()
	data, err := operator.NewClient("http://"+i.Self().OperatorAddress, r.OperatorToken, nil).BurnReportJSON(t.Context())
	is.New(t).NoErr(err)
	report, err := burncodec.DecodeReport(data)
	is.New(t).NoErr(err)
	return report
}

// Guards against requests missing from the burn report, and against counts
// that are lost when the instance that recorded them is replaced.
func TestBurnReportSurvivesReplacement(t *testing.T) {
	is := is.New(t)
	r, err := Start(t.Context(), Options{Deployment: Deployments()["ladang-petik"], Instances: 1, Log: log.New(io.Discard)})
	is.NoErr(err)
	defer func() { is.NoErr(r.Stop(context.Background())) }()
	const requests = 5
	answered := 0
	for answered < requests { // requests are refused until the models are loaded
		if postChat(t, r.Instances[0], "slot-confirmation") == http.StatusOK {
			answered++
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(postChat(t, r.Instances[0], "no-such-model"), http.StatusNotFound)
	before := burnReport(t, r, r.Instances[0])
	urgent := before.Ranks[fleet.Urgent].Windows[1]
	is.Equal(urgent.Good+urgent.Late, uint64(requests))
	is.Equal(before.Rows[0].Row, "slot-confirmation")

	_, err = r.StartInstance(t.Context(), 1, loopback)
	is.NoErr(err)
	old := r.Instances[0]
	r.Instances = r.Instances[1:]
	r.Platform.RemoveInstance(old.Self().ID)
	is.NoErr(old.Stop(context.Background()))
	after := burnReport(t, r, r.Instances[0])
	is.True(after.Complete)
	is.Equal(after.Sources, 2)
	is.Equal(after.Ranks[fleet.Urgent].Windows[1], urgent)
}
