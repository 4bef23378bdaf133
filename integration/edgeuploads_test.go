//go:build linux

package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// uploadRequests returns one request with a long body of each kind. n varies the paths.
func uploadRequests(n int) []edgeRequest {
	body := strings.Repeat("b", platformtest.LongUploadBytes)
	return []edgeRequest{
		{Method: "POST", Path: fmt.Sprintf("/look/%d", n), Body: body},
		{Method: "POST", Path: fmt.Sprintf("/book/%d", n), Body: body},
		{Method: "POST", Path: fmt.Sprintf("/chat/%d", n), Body: body, Model: "m1"},
		{Method: "POST", Path: fmt.Sprintf("/once/%d", n), Body: body, Model: "m2"},
	}
}

// Guards against a part of an answer that reaches the caller as the whole one, because its
// replica reset the connection while a long request was being written.
func TestEdgeResetsDuringUploads(t *testing.T) {
	t.Parallel()
	const seed, callers, uploads = 740, 4, 30
	is := is.New(t)
	f := newEdgeFleet(t)
	f.PutConfigWithBodies(2, "", platformtest.LongUploadBytes)
	for range 2 {
		f.addInstance()
	}
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(c)))
		wg.Go(func() {
			for n := range uploads {
				candidates := uploadRequests(c*uploads + n)
				r := candidates[rng.IntN(len(candidates))]
				r.ID = fmt.Sprintf("upload-%d-%d", c, n)
				if rng.IntN(3) == 0 {
					for _, replica := range append(f.Apps, f.Engines...) {
						replica.QueueUploadResets(rng.IntN(2))
					}
				}
				got := f.send(f.instances[rng.IntN(len(f.instances))], r)
				f.checkReply(r, got)
				if got.Err == nil && got.Status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	resets := 0
	for _, replica := range append(f.Apps, f.Engines...) {
		for _, run := range replica.Runs() {
			if run.Body == platformtest.UnreadBody {
				resets++
			}
		}
	}
	t.Logf("seed %d: %d served, %d failed, %d uploads reset", seed, served.Load(), failed.Load(), resets)
	is.True(served.Load() > 0)
	is.True(resets > 0)
}
