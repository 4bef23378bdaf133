package controlplane

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
)

// Guards against answer times that do not reach the holder's load plan, that are counted
// twice, or that are sent in a deployment whose plan does not use them.
func TestAnswerTimesAreSentForSlowStoreOnly(t *testing.T) {
	for storeLoad, sent := range map[time.Duration]bool{5 * time.Second: false, 9 * time.Second: true} {
		is := is.New(t)
		c := newTestCore(t)
		engine := &catalog.Engine{Slots: 4, WeightsMB: 90, Models: []catalog.Model{{Name: "m", WeightsMB: 30, StoreLoadTime: storeLoad}}}
		engine.IndexModels()
		c.adoptConfig(epoch, catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: "s", Engine: engine}}, nil), nil)
		r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartMillis: 1, Slots: 4, Models: []catalog.LoadedModel{{Name: "m"}}}
		ReplicasRead{Table: "replicas", Entries: []catalog.Entry{{ID: "r", Version: 1, Replica: r}}, Version: 1}.apply(c, epoch)
		req := &dispatch.Request{ID: "q", Route: &catalog.Route{}, Service: "s", Model: "m", PromptTokens: 100}
		d := dispatch.Decision{Replica: r, Expected: 100 * time.Millisecond}
		firstByte{flight: &Flight{Request: req, Decision: d}, elapsed: 200 * time.Millisecond}.apply(c, epoch)
		answer := make(chan PeerState, 1)
		ownState{answer: answer}.apply(c, epoch)
		state := <-answer
		is.Equal(len(state.AnswerTimes) == 1, sent)
		if sent {
			is.Equal(state.AnswerTimes["r"].Answers, 1)
			is.True(math.Abs(state.AnswerTimes["r"].LogRatio-math.Log(2)) < 0.01)
		}
		is.Equal(len(c.drainAnswerTimes()), 0)
	}
}
