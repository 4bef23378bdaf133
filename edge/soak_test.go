package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

const (
	// soakSeedsVariable names the environment variable with the seeds of
	// TestNoRequestIsLostInPlannedWork, separated by commas.
	soakSeedsVariable = "HYSSOPHAVEN_SOAK_SEEDS"
	// soakTime is the time in which callers send requests and changes are made.
	soakTime = 12 * time.Second
	// lossSlack is how long after its last byte a request can lose its connection if it
	// has not reached a replica. The platform states it as loss-slack-ms.
	lossSlack = 200 * time.Millisecond

	// maxPartPause limits the time between the two parts of a request.
	maxPartPause = 200 * time.Millisecond

	soakInstances = 3
	soakCallers   = 16
)

// soak sends requests to a deployment whose instances, config and replicas change.
type soak struct {
	*deployment
	seed  uint64
	ended chan struct{} // closed when no more requests and changes begin

	mu       sync.Mutex // guards the fields below
	failed   []failedRequest
	cut      int         // failures that their replica did not end, and that were broken off
	statuses map[int]int // number of complete answers, by status
	stops    int
}

// failedRequest is a request that was sent completely and got no complete answer.
type failedRequest struct {
	request
	err     error
	elapsed time.Duration // from the last byte to the end of the connection
}

// Guards against requests that end without a complete answer while instances stop and
// restart, the config changes and replicas leave, in series that overlap.
func TestNoRequestIsLostInPlannedWork(t *testing.T) {
	seeds := os.Getenv(soakSeedsVariable)
	if seeds == "" {
		seeds = "1"
	}
	for _, text := range strings.Split(seeds, ",") {
		t.Run("seed "+text, func(t *testing.T) {
			s := &soak{deployment: newDeployment(t), ended: make(chan struct{}), statuses: make(map[int]int)}
			if _, err := fmt.Sscan(text, &s.seed); err != nil {
				t.Fatal(err)
			}
			s.run()
			s.check()
		})
	}
}

// run starts the instances, and returns when all requests have ended.
func (s *soak) run() {
	s.bounds.Grace = 8 * time.Second
	for _, r := range append(s.Engines, s.Apps...) {
		r.EventGap, r.ServiceTime, r.Pause = 80*time.Millisecond, 100*time.Millisecond, 1500*time.Millisecond
	}
	for range soakInstances {
		s.addInstance()
	}
	var wg sync.WaitGroup
	actors := uint64(0)
	start := func(act func(rng *rand.Rand)) {
		actors++
		rng := rand.New(rand.NewPCG(s.seed, actors))
		wg.Go(func() { act(rng) })
	}
	for n := range soakInstances {
		start(func(rng *rand.Rand) { s.restartInstance(rng, n) })
	}
	start(s.changeConfig)
	start(s.changeReplicas)
	for n := range soakCallers {
		start(func(rng *rand.Rand) { s.sendRequests(rng, n) })
	}
	start(s.sendUploads)
	time.Sleep(soakTime)
	close(s.ended)
	wg.Wait()
}

// pause waits up to limit. It returns false if the soak has ended.
func (s *soak) pause(rng *rand.Rand, limit time.Duration) bool {
	select {
	case <-s.ended:
		return false
	case <-time.After(time.Duration(rng.Int64N(int64(limit)))):
		return true
	}
}

// restartInstance stops and restarts an instance until the soak ends.
func (s *soak) restartInstance(rng *rand.Rand, n int) {
	instance := s.instances[n]
	for s.pause(rng, 3*time.Second) {
		if err := instance.Stop(context.Background()); err != nil {
			s.t.Errorf("stop of instance %d: %v", n, err)
		}
		var err error
		if instance, err = New(s.nodes[n], instance.log); err == nil {
			err = instance.Start(context.Background())
		}
		if err != nil {
			s.t.Errorf("restart of instance %d: %v", n, err)
			return
		}
		s.mu.Lock()
		s.stops++
		s.mu.Unlock()
		s.t.Cleanup(func() { _ = instance.kernel.Stop(context.Background()); _ = instance.metrics.Close() })
	}
}

// changeConfig changes timeouts, limits and routes.
func (s *soak) changeConfig(rng *rand.Rand) {
	for version := 2; s.pause(rng, time.Second); version++ {
		edits := []string{
			`"timeout-ms":8000`, fmt.Sprintf(`"timeout-ms":%d`, 5000+rng.IntN(3000)),
			`"max-body-bytes":100000`, fmt.Sprintf(`"max-body-bytes":%d`, platformtest.LongUploadBytes),
			`"idle-timeout-ms":15000`, fmt.Sprintf(`"idle-timeout-ms":%d`, 200<<rng.IntN(6)),
		}
		if rng.IntN(2) == 0 {
			edits = append(edits, `"path-prefix":"/look/"`, `"path-prefix":"/other/"`)
		}
		s.Store.Put(platform.ConfigTable, platform.ConfigKey, slowConfig(version, edits...))
	}
}

// changeReplicas lets replicas leave and come back, and has them pause streams and turn
// requests away.
func (s *soak) changeReplicas(rng *rand.Rand) {
	states := []string{"in_service", "in_service", "draining"}
	for s.pause(rng, time.Second) {
		zone := rng.IntN(len(s.Engines))
		zoneName := []string{"z1", "z2"}[zone]
		engine, app := s.Engines[zone], s.Apps[zone]
		engine.QueueFaults([]platformtest.Fault{platformtest.PauseStream, platformtest.Shed, platformtest.CutFailure, platformtest.EndlessFailure}[rng.IntN(4)])
		app.QueueFaults([]platformtest.Fault{platformtest.None, platformtest.CutFailure, platformtest.EndlessFailure}[rng.IntN(3)])
		s.Store.Put(platform.ReplicaTable, engine.ID, engine.Row("llm", zoneName, states[rng.IntN(len(states))]))
		s.Store.Put(platform.ReplicaTable, app.ID, app.Row("app", zoneName, states[rng.IntN(len(states))]))
	}
}

// sendRequests sends requests, each on the connection of the last one if it is still
// open.
func (s *soak) sendRequests(rng *rand.Rand, caller int) {
	var conn net.Conn
	for n := 0; s.pause(rng, 300*time.Millisecond); n++ {
		address := s.nodes[rng.IntN(soakInstances)].Callers
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				conn = nil
				continue // the instance is stopped
			}
		}
		if !s.sendRequest(rng, conn, soakRequest(rng, fmt.Sprintf("r%d-%d", caller, n))) {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// sendUploads sends requests with long bodies to plain services, which reset some of them.
func (s *soak) sendUploads(rng *rand.Rand) {
	body := strings.Repeat("b", platformtest.LongUploadBytes)
	for n := 0; s.pause(rng, 500*time.Millisecond); n++ {
		address := s.nodes[rng.IntN(soakInstances)].Callers
		r := request{Method: "POST", Path: []string{"/look/", "/book/"}[rng.IntN(2)] + fmt.Sprint(n), ID: fmt.Sprintf("upload-%d", n), Body: body}
		s.Apps[rng.IntN(len(s.Apps))].QueueUploadResets(rng.IntN(2))
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue // the instance is stopped
		}
		s.sendRequest(rng, conn, r)
		_ = conn.Close()
	}
}

// soakRequest returns a request of a random kind.
func soakRequest(rng *rand.Rand, id string) request {
	r := []request{
		{Method: "GET", Path: "/look/x"}, {Method: "POST", Path: "/book/x", Body: "a booking"},
		{Method: "POST", Path: "/chat/x", Body: "a prompt", Model: "m1"}, {Method: "POST", Path: "/chat/x", Body: "a prompt", Model: "m1/a1"},
		{Method: "POST", Path: "/once/x", Body: "a prompt", Model: "m2"},
		{Method: "POST", Path: "/slow-chat/x", Body: "a prompt", Model: loadingModel, TimeLeft: 5 * time.Second},
	}[rng.IntN(6)]
	r.ID = id
	return r
}

// sendRequest sends a request, at times in two parts, and reads its answer. It returns
// whether the connection can be used again.
func (s *soak) sendRequest(rng *rand.Rand, conn net.Conn, r request) bool {
	text := formatRequest(r)
	first := len(text)
	if rng.IntN(4) == 0 {
		first = 1 + rng.IntN(len(text)-1)
	}
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(conn, text[:first]); err != nil {
		return false
	}
	if first < len(text) {
		time.Sleep(time.Duration(rng.Int64N(int64(maxPartPause))))
		if _, err := io.WriteString(conn, text[first:]); err != nil {
			return false
		}
	}
	sent := time.Now()
	status, keep, err := readReply(conn, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, errCutFailure) {
		s.cut++
		return false
	}
	if err != nil {
		s.failed = append(s.failed, failedRequest{request: r, err: err, elapsed: time.Since(sent)})
		return false
	}
	s.statuses[status]++
	return keep
}

func formatRequest(r request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\nContent-Length: %d\r\n", r.Method, r.Path, r.ID, len(r.Body))
	if r.TimeLeft > 0 {
		fmt.Fprintf(&b, "X-Hyssophaven-Deadline-Ms: %d\r\n", r.TimeLeft.Milliseconds())
	}
	if r.Model != "" {
		fmt.Fprintf(&b, "X-Hyssophaven-Model: %s\r\nX-Hyssophaven-Token-Count: 100,10\r\nX-Hyssophaven-Prompt-Prefix: aa:40,%d:60\r\n", r.Model, promptNumber.Add(1))
	}
	return b.String() + "\r\n" + r.Body
}

// promptNumber makes the last parts of prompts differ.
var promptNumber atomic.Int64

// errCutFailure means that a large failure, which its replica did not end, was broken off.
var errCutFailure = errors.New("failure was broken off")

// readReply reads the answer to a request, and fails if it is not complete. keep reports
// whether the instance keeps the connection.
func readReply(conn net.Conn, r request) (status int, keep bool, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if large := resp.StatusCode >= 500 && strings.HasPrefix(string(body), platformtest.LargeFailureText); large {
		if err == nil {
			return resp.StatusCode, false, errors.New("a part of a failure looks complete")
		}
		if strings.Contains(string(body), "\nid: ") {
			return resp.StatusCode, false, errors.New("a part of a failure is followed by events")
		}
		return resp.StatusCode, false, errCutFailure
	}
	whole := string(body) == platformtest.StreamBody(r.ID, 6)
	if r.Model == "" {
		whole = strings.HasPrefix(string(body), "answer of ")
	}
	if err == nil && resp.StatusCode == http.StatusOK && !whole {
		err = fmt.Errorf("answer %q is not complete", body)
	}
	return resp.StatusCode, !resp.Close, err
}

// check reports the requests that were lost: those that reached a replica, or whose
// connection ended later than lossSlack after the last byte.
func (s *soak) check() {
	s.t.Helper()
	crossed, late := 0, 0
	for _, f := range s.failed {
		runs := len(s.Runs(f.ID))
		switch {
		case runs == 0 && f.elapsed <= lossSlack:
			crossed++ // the request crossed the close of its connection
		case f.TimeLeft > 0 && f.elapsed > f.TimeLeft-maxPartPause:
			late++ // the caller's time was over
		default:
			s.logRequest(f.ID)
			s.t.Errorf("request %s %s %s was lost %v after its last byte: %d runs, error %v", f.ID, f.Path, f.Model, f.elapsed, runs, f.err)
		}
	}
	s.t.Logf("seed %d: answers by status %v, %d failures broken off, %d crossed a close, %d late, %d stops", s.seed, s.statuses, s.cut, crossed, late, s.stops)
	if s.statuses[http.StatusOK] == 0 || s.stops == 0 {
		s.t.Error("no request was served or no instance was stopped")
	}
}

// logRequest logs what the instances logged on a request.
func (s *soak) logRequest(id string) {
	s.t.Helper()
	for line := range strings.Lines(s.logs.String()) {
		if strings.Contains(line, "request="+id+" ") {
			s.t.Log(line)
		}
	}
}
