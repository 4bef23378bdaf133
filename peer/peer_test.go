package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"io"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// recordingHandler is a kernel service "control" that implements Handler and
// records the messages that it receives.
type recordingHandler struct {
	heartbeats        chan membership.Heartbeat
	notices           chan []quarantine.Notice
	mu                sync.Mutex
	table             Snapshot
	encodedTableCalls int
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{heartbeats: make(chan membership.Heartbeat, 100), notices: make(chan []quarantine.Notice, 100)}
}

func (h *recordingHandler) Name() string                                          { return "control" }
func (h *recordingHandler) Requires() []string                                    { return nil }
func (h *recordingHandler) Start(context.Context, *kernel.Kernel) error           { return nil }
func (h *recordingHandler) Stop(context.Context) error                            { return nil }
func (h *recordingHandler) HandleHeartbeat(hb membership.Heartbeat)               { h.heartbeats <- hb }
func (h *recordingHandler) HandleNotices(_ fleet.Instance, n []quarantine.Notice) { h.notices <- n }

// EncodedTable changes the table at the second call, as an edit during a transfer
// does.
func (h *recordingHandler) EncodedTable(context.Context) (Snapshot, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.encodedTableCalls++
	if h.encodedTableCalls == 2 {
		h.table.Revision++
		h.table.Data = bytes.Clone(h.table.Data)
		h.table.Data[0]++
	}
	return h.table, nil
}

func (h *recordingHandler) ClaimStatus(_ context.Context, claim string) (ClaimStatus, error) {
	if claim == "bad" {
		return 0, errors.New("claim can't be read")
	}
	return ClaimInProgress, nil
}

// startPeer starts a service and its handler in a kernel of their own, and stops
// them at the end of the test.
func startPeer(t testing.TB, id string, change func(*Options)) (*Service, *recordingHandler) {
	t.Helper()
	is := is.New(t)
	opts := Options{
		Self:   fleet.Instance{ID: fleet.InstanceID(id), Incarnation: 3, DataCentre: "kul-a"},
		Secret: []byte("secret"), Listen: "127.0.0.1:0",
		MinBackoff: 10 * time.Millisecond, MaxBackoff: 50 * time.Millisecond,
	}
	if change != nil {
		change(&opts)
	}
	k, err := kernel.New()
	is.NoErr(err)
	s, err := New(opts)
	is.NoErr(err)
	h := newRecordingHandler()
	k.Register(s)
	k.Register(h)
	is.NoErr(k.Start(t.Context()))
	t.Cleanup(func() { is.NoErr(k.Stop(context.Background())) })
	return s, h
}

// waitUntil polls the condition and fails the test if it does not become true
// within 20 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against messages that are lost, changed or attributed to the wrong
// sender, and against several connections to one peer.
func TestMessagesReachTheHandler(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	b, hb := startPeer(t, "b", nil)
	for i := range 5 {
		a.SendHeartbeat(t.Context(), b.Address(), membership.Heartbeat{Sequence: uint64(10 + i), TableRevision: 4})
		got := <-hb.heartbeats
		is.Equal(got.Member, a.opts.Self)
		is.Equal(got.Sequence, uint64(10+i))
		is.Equal(got.TableRevision, uint64(4))
	}
	notice := quarantine.Notice{Fingerprint: 9, Losses: []quarantine.Loss{{Endpoint: "e", BootID: "b"}}}
	a.SendNotices(t.Context(), b.Address(), []quarantine.Notice{notice})
	is.Equal(<-hb.notices, []quarantine.Notice{notice})
	status, err := a.ClaimStatus(t.Context(), b.Address(), "key")
	is.NoErr(err)
	is.Equal(status, ClaimInProgress)
	_, err = a.ClaimStatus(t.Context(), b.Address(), "bad")
	is.True(err != nil)
	who, err := a.Identify(t.Context(), b.Address())
	is.NoErr(err)
	is.Equal(who, b.opts.Self)
	is.Equal(a.Counters().Connects.Load(), int64(1)) // all messages used one connection
}

// Guards against snapshots that are truncated at the frame size, or composed of
// parts of two revisions.
func TestSnapshotLargerThanAFrameHasOneRevision(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	b, hb := startPeer(t, "b", nil)
	hb.table = Snapshot{Revision: 7, Data: make([]byte, 3*maxFrameBytes/2)}
	_, err := rand.Read(hb.table.Data)
	is.NoErr(err)
	got, err := a.TableSnapshot(t.Context(), b.Address())
	is.NoErr(err)
	is.Equal(got.Revision, uint64(8))
	is.True(bytes.Equal(got.Data, hb.table.Data))
}

// Guards against accepting a dialer or a listener that doesn't know the secret.
func TestPeersWithoutTheSecretAreRefused(t *testing.T) {
	is := is.New(t)
	a, ha := startPeer(t, "a", func(o *Options) { o.Secret = []byte("other") })
	b, hb := startPeer(t, "b", nil)
	a.SendHeartbeat(t.Context(), b.Address(), membership.Heartbeat{Sequence: 1})
	_, err := a.Identify(t.Context(), b.Address())
	is.True(errors.Is(err, ErrAuthentication)) // b's proof is checked first
	_, err = b.Identify(t.Context(), a.Address())
	is.True(errors.Is(err, ErrAuthentication))

	// A dialer that doesn't verify the listener's proof is refused.
	l := newLink(b.Address(), a.opts, &a.counters)
	raw, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	c := newConn(raw, l.opts, l.counters, rejectRequests{})
	defer func() { _ = c.rpc.Close() }()
	var result helloResult
	params := helloParams{Version: protocolVersion, Nonce: make([]byte, nonceBytes), Instance: instanceToWire(a.opts.Self)}
	is.NoErr(c.rpc.Call(t.Context(), methodHello, params, &result))
	var ok bool
	is.True(c.rpc.Call(t.Context(), methodHelloProof, proofParams{Proof: result.Proof}, &ok) != nil) // b refuses its own proof
	<-c.rpc.DisconnectNotify()
	is.Equal(len(ha.heartbeats)+len(hb.heartbeats), 0)
	is.True(b.Counters().AuthFailures.Load() > 0)
}

// Guards against handling messages of a peer that is not authenticated, and
// against connections that stay open without a hello.
func TestNoMessageIsHandledBeforeHello(t *testing.T) {
	is := is.New(t)
	b, hb := startPeer(t, "b", func(o *Options) { o.DialTimeout = 200 * time.Millisecond })
	raw, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	c := newConn(raw, b.opts, &Counters{}, rejectRequests{})
	is.NoErr(c.rpc.Notify(t.Context(), methodHeartbeat, wireHeartbeat{Sequence: 1}))
	<-c.rpc.DisconnectNotify()

	large, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	_, err = large.Write(binary.AppendUvarint(nil, maxHelloFrameBytes+1))
	is.NoErr(err)
	idle, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	for _, c := range []net.Conn{large, idle} {
		_, err := io.ReadAll(c)
		is.True(err == nil || isNetError(err)) // closed by b
	}
	is.Equal(len(hb.heartbeats), 0)
	is.True(b.Counters().MalformedMessages.Load() > 0)
}

// Guards against an invalid message from one peer that affects the connection of
// another.
func TestInvalidMessageDisconnectsOnlyItsSender(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	b, hb := startPeer(t, "b", nil)
	a.SendHeartbeat(t.Context(), b.Address(), membership.Heartbeat{Sequence: 1})
	<-hb.heartbeats
	faulty, _ := startPeer(t, "evil", nil)
	l := newLink(b.Address(), faulty.opts, &faulty.counters)
	conn, _, err := l.connect(t.Context())
	is.NoErr(err)
	is.NoErr(conn.Notify(t.Context(), methodHeartbeat, wireHeartbeat{Load: wireLoadChanges{Demand: [][]int64{{99, 1}}}}))
	<-conn.DisconnectNotify()
	waitUntil(t, "malformed is counted", func() bool { return b.Counters().MalformedMessages.Load() == 1 })
	a.SendHeartbeat(t.Context(), b.Address(), membership.Heartbeat{Sequence: 2})
	is.Equal((<-hb.heartbeats).Sequence, uint64(2))
	is.Equal(a.Counters().Connects.Load(), int64(1))
}

// Guards against SendHeartbeat blocking while a peer is down, and against links
// that don't reconnect when the peer is up again.
func TestSendNeverBlocksAndLinkReconnects(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := reserved.Addr().String()
	is.NoErr(reserved.Close())
	for i := range 1000 {
		a.SendHeartbeat(t.Context(), address, membership.Heartbeat{Sequence: uint64(i + 1)})
	}
	_, err = a.Identify(t.Context(), address)
	is.True(errors.Is(err, ErrUnreachable))
	_, hb := startPeer(t, "b", func(o *Options) { o.Listen = address })
	waitUntil(t, "heartbeat after the peer came up", func() bool {
		a.SendHeartbeat(t.Context(), address, membership.Heartbeat{Sequence: 2000})
		return len(hb.heartbeats) > 0
	})
	is.Equal((<-hb.heartbeats).Sequence, uint64(2000))
}

// Guards against the continued use of a connection that was lost without a TCP
// reset.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", func(o *Options) { o.IdleTimeout, o.AckInterval = 300*time.Millisecond, 50*time.Millisecond })
	b, hb := startPeer(t, "b", nil)
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = proxy.Close() }()
	var cut atomic.Bool
	var accepted atomic.Int64
	go func() {
		for {
			c, err := proxy.Accept()
			if err != nil {
				return
			}
			if accepted.Add(1) > 1 {
				cut.Store(false)
			}
			up, err := net.Dial("tcp", b.Address())
			if err != nil {
				return
			}
			go forward(c, up, &cut)
			go forward(up, c, &cut)
		}
	}()
	address := proxy.Addr().String()
	a.SendHeartbeat(t.Context(), address, membership.Heartbeat{Sequence: 1})
	is.Equal((<-hb.heartbeats).Sequence, uint64(1))
	cut.Store(true)
	sequence := uint64(1)
	waitUntil(t, "heartbeat over a new connection", func() bool {
		sequence++
		a.SendHeartbeat(t.Context(), address, membership.Heartbeat{Sequence: sequence})
		return len(hb.heartbeats) > 0
	})
	is.True(a.Counters().Connects.Load() >= 2)
}

// forward copies data until a read error, and discards it while cut is set.
func forward(from, to net.Conn, cut *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if !cut.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// Guards against a plain connection to a listener with TLS, and against a
// certificate that can't be replaced while the service runs.
func TestTLSWithReplacedCertificate(t *testing.T) {
	is := is.New(t)
	pool := x509.NewCertPool()
	var current atomic.Pointer[tls.Certificate]
	current.Store(newCertificate(t, pool))
	secure := func(o *Options) {
		o.ServerTLS = &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return current.Load(), nil }}
		o.ClientTLS = &tls.Config{RootCAs: pool}
	}
	a, _ := startPeer(t, "a", secure)
	b, hb := startPeer(t, "b", secure)
	a.SendHeartbeat(t.Context(), b.Address(), membership.Heartbeat{Sequence: 1})
	<-hb.heartbeats
	plain, _ := startPeer(t, "plain", nil)
	_, err := plain.Identify(t.Context(), b.Address())
	is.True(errors.Is(err, ErrUnreachable))
	unknown := newCertificate(t, x509.NewCertPool())
	current.Store(unknown)
	c, _ := startPeer(t, "c", secure)
	_, err = c.Identify(t.Context(), b.Address())
	is.True(errors.Is(err, ErrUnreachable)) // the new certificate is used, and c does not trust it
}

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, net.ErrClosed)
}

// newCertificate returns a self-signed certificate for 127.0.0.1 and adds it to
// the pool.
func newCertificate(t *testing.T, pool *x509.CertPool) *tls.Certificate {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool.AddCert(cert)
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// BenchmarkLoopback measures one heartbeat over a loopback connection: the
// processor time of sender and receiver together, and the bytes including frame
// headers.
func BenchmarkLoopback(b *testing.B) {
	is := is.New(b)
	a, _ := startPeer(b, "a", nil)
	c, hc := startPeer(b, "c", nil)
	var prepared [60]membership.Heartbeat // benchHeartbeat's load repeats after 60 heartbeats
	for i := range prepared {
		prepared[i] = benchHeartbeat(i)
	}
	var before, after syscall.Rusage
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	bytesBefore := a.counters.BytesSent.Load()
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		h := prepared[sequence%60]
		h.Sequence = sequence
		a.SendHeartbeat(b.Context(), c.Address(), h)
		<-hc.heartbeats
	}
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	spent := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/heartbeat")
	b.ReportMetric(float64(a.counters.BytesSent.Load()-bytesBefore)/float64(b.N), "bytes/heartbeat")
}
