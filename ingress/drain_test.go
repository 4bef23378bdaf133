package ingress

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// anyProtocol accepts every request.
type anyProtocol struct{ Protocol }

func (anyProtocol) ReadRequest(*http.Request) (RequestHead, error) { return RequestHead{ID: "r"}, nil }

func (anyProtocol) SetRefusalHeaders(http.Header, string, time.Duration) {}

// Guards against a request that is taken long after the stop, on a connection whose last
// answer began before it, and is cut at the end of the grace time.
func TestDrainRefusesRequestAfterLastAnswer(t *testing.T) {
	is := is.New(t)
	k, err := kernel.New()
	is.NoErr(err)
	control := controlplane.New(nodeconfig.Node{}, log.New(io.Discard), metrics.New())
	is.NoErr(control.Start(t.Context(), k))
	control.Post(controlplane.ConfigSeen{Config: &catalog.Config{Version: 1}})
	service := New(Options{Log: log.New(io.Discard), Metrics: metrics.New(), Protocol: anyProtocol{}, Pool: upstream.NewPool(nil, nil)})
	entered, release := make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	first := true
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !first {
			service.serve(w, r)
			return
		}
		first = false
		close(entered)
		<-release
		w.WriteHeader(http.StatusOK)
	}), log.New(io.Discard), longLimits, 0)
	service.control, service.listener, service.callers = control, l.(deadlineListener), s
	go s.run(service.listener)
	t.Cleanup(func() { _ = l.Close(); _ = s.close() })
	caller := dial(t, l.Addr().String())
	caller.send(t, wholeRequest)
	<-entered
	drained := make(chan struct{})
	go func() {
		service.Drain(t.Context(), time.Now().Add(2*balancerWait))
		close(drained)
	}()
	time.Sleep(balancerWait + 2*newConnWait)
	for deadline := time.Now().Add(balancerWait / 2); !service.refusing.Load(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("new requests are not refused before the end of the grace time")
		}
	}
	close(release)
	status, err := caller.readStatus()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	caller.send(t, wholeRequest)
	status, err = caller.readStatus()
	is.True(err != nil || status == http.StatusServiceUnavailable) // refused, or closed unread
	<-drained
}

// Guards against a request that is lost because it crosses the close of its idle
// connection when the instance stops: the connection is kept for as long as the last
// answer told its caller.
func TestDrainKeepsIdleConnectionAsLongAsTold(t *testing.T) {
	const notice = time.Second
	is := is.New(t)
	s := newCallerServer(http.HandlerFunc(answerOK), log.New(io.Discard), longLimits, 0)
	s.conns.maxIdleNotice = notice
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.run(l.(deadlineListener))
	t.Cleanup(func() { _ = l.Close(); _ = s.close() })
	used, idle, unused := dial(t, l.Addr().String()), dial(t, l.Addr().String()), dial(t, l.Addr().String())
	for _, c := range []*callerConn{used, idle} {
		is.Equal(c.get(t), http.StatusOK)
	}
	is.Equal(s.idleTimeout(), notice)
	begun := time.Now()
	drained := make(chan error, 1)
	go func() { drained <- s.shutdown(t.Context()) }()
	time.Sleep(notice * 9 / 10)
	is.Equal(used.get(t), http.StatusOK)
	_, err = unused.answers.ReadByte()
	is.Equal(err, io.EOF)
	_, err = idle.answers.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(begun) >= notice)
	is.NoErr(<-drained) // used is closed too, although its caller does not close it
}
