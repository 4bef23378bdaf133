package peer

import (
	"bufio"
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

// handler is a kernel service "control" that records what it is given.
type handler struct {
	heartbeats chan membership.Heartbeat
	notices    chan []quarantine.Notice
	mu         sync.Mutex
	table      Snapshot
	asked      int
}

func newHandler() *handler {
	return &handler{heartbeats: make(chan membership.Heartbeat, 100), notices: make(chan []quarantine.Notice, 100)}
}

func (h *handler) Name() string                                          { return "control" }
func (h *handler) Requires() []string                                    { return nil }
func (h *handler) Start(context.Context, *kernel.Kernel) error           { return nil }
func (h *handler) Stop(context.Context) error                            { return nil }
func (h *handler) HandleHeartbeat(hb membership.Heartbeat)               { h.heartbeats <- hb }
func (h *handler) HandleNotices(_ fleet.Instance, n []quarantine.Notice) { h.notices <- n }

func (h *handler) EncodedTable(context.Context) (Snapshot, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	if h.asked == 2 {
		h.table.Revision++ // an edit during the transfer
		h.table.Data = bytes.Clone(h.table.Data)
		h.table.Data[0]++
	}
	return h.table, nil
}

func (h *handler) ClaimStatus(_ context.Context, claim string) (ClaimStatus, error) {
	if claim == "bad" {
		return 0, errors.New("claim can't be read")
	}
	return ClaimInProgress, nil
}

// startPeer starts a service with its handler.
func startPeer(t testing.TB, id string, change func(*Options)) (*Service, *handler) {
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
	h := newHandler()
	k.Register(s)
	k.Register(h)
	is.NoErr(k.Start(t.Context()))
	t.Cleanup(func() { is.NoErr(k.Stop(context.Background())) })
	return s, h
}

// eventually waits for a condition that other goroutines bring about.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against messages that are lost, changed or given to the wrong sender.
func TestMessagesReachTheHandler(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	b, hb := startPeer(t, "b", nil)
	for i := range 5 {
		a.Send(t.Context(), b.Address(), membership.Heartbeat{Sequence: uint64(10 + i), TableRevision: 4})
		got := <-hb.heartbeats
		is.Equal(got.Member, a.opts.Self)
		is.Equal(got.Sequence, uint64(10+i))
		is.Equal(got.TableRevision, uint64(4))
	}
	notice := quarantine.Notice{Fingerprint: 9, Losses: []quarantine.Loss{{Endpoint: "e", BootID: "b"}}}
	a.Suspect(t.Context(), b.Address(), []quarantine.Notice{notice})
	is.Equal(<-hb.notices, []quarantine.Notice{notice})
	status, err := a.ClaimStatus(t.Context(), b.Address(), "key")
	is.NoErr(err)
	is.Equal(status, ClaimInProgress)
	_, err = a.ClaimStatus(t.Context(), b.Address(), "bad")
	is.True(err != nil)
	who, err := a.Hello(t.Context(), b.Address())
	is.NoErr(err)
	is.Equal(who, b.opts.Self)
	is.Equal(a.Counters().Connects.Load(), int64(1)) // one connection for all
}

// Guards against snapshots that are cut at the frame bound or mixed from two
// revisions.
func TestSnapshotLargerThanAFrameIsOfOneRevision(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	b, hb := startPeer(t, "b", nil)
	hb.table = Snapshot{Revision: 7, Data: make([]byte, 3*maxFrame/2)}
	_, err := rand.Read(hb.table.Data)
	is.NoErr(err)
	got, err := a.TableSnapshot(t.Context(), b.Address())
	is.NoErr(err)
	is.Equal(got.Revision, uint64(8))
	is.True(bytes.Equal(got.Data, hb.table.Data))
}

// Guards against peers without the secret, in both directions.
func TestPeersWithoutTheSecretAreRefused(t *testing.T) {
	is := is.New(t)
	a, ha := startPeer(t, "a", func(o *Options) { o.Secret = []byte("other") })
	b, hb := startPeer(t, "b", nil)
	a.Send(t.Context(), b.Address(), membership.Heartbeat{Sequence: 1})
	_, err := a.Hello(t.Context(), b.Address())
	is.True(errors.Is(err, ErrAuthentication)) // b's proof is checked first
	_, err = b.Hello(t.Context(), a.Address())
	is.True(errors.Is(err, ErrAuthentication))

	// A caller that does not check the listener gets no further.
	l := newLink(b.Address(), a.opts, &a.count)
	raw, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	c := newConn(raw, l.opts, l.count, refuseHandler{})
	defer func() { _ = c.rpc.Close() }()
	var result helloResult
	params := helloParams{Version: protocolVersion, Nonce: make([]byte, nonceSize), Instance: instanceToWire(a.opts.Self)}
	is.NoErr(c.rpc.Call(t.Context(), methodHello, params, &result))
	var ok bool
	is.True(c.rpc.Call(t.Context(), methodHelloProof, proofParams{Proof: result.Proof}, &ok) != nil) // reflected proof
	<-c.rpc.DisconnectNotify()
	is.Equal(len(ha.heartbeats)+len(hb.heartbeats), 0)
	is.True(b.Counters().AuthFailures.Load() > 0)
}

// Guards against messages that are read before the peer is authenticated, and
// against connections that stay open without a hello.
func TestNothingIsReadBeforeHello(t *testing.T) {
	is := is.New(t)
	b, hb := startPeer(t, "b", func(o *Options) { o.DialTimeout = 200 * time.Millisecond })
	raw, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	c := newConn(raw, b.opts, &Counters{}, refuseHandler{})
	is.NoErr(c.rpc.Notify(t.Context(), methodHeartbeat, wireHeartbeat{Sequence: 1}))
	<-c.rpc.DisconnectNotify()

	large, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	_, err = large.Write(binary.AppendUvarint(nil, maxHelloFrame+1))
	is.NoErr(err)
	silent, err := net.Dial("tcp", b.Address())
	is.NoErr(err)
	for _, c := range []net.Conn{large, silent} {
		_, err := io.ReadAll(c)
		is.True(err == nil || isNetError(err)) // closed by b
	}
	is.Equal(len(hb.heartbeats), 0)
	is.True(b.Counters().Malformed.Load() > 0)
}

// Guards against one peer's garbage that disturbs another peer.
func TestGarbageDisconnectsOnlyItsSender(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	b, hb := startPeer(t, "b", nil)
	a.Send(t.Context(), b.Address(), membership.Heartbeat{Sequence: 1})
	<-hb.heartbeats
	evil, _ := startPeer(t, "evil", nil)
	l := newLink(b.Address(), evil.opts, &evil.count)
	conn, _, err := l.connect(t.Context())
	is.NoErr(err)
	is.NoErr(conn.Notify(t.Context(), methodHeartbeat, wireHeartbeat{Load: wireLoadChanges{Demand: [][]int64{{99, 1}}}}))
	<-conn.DisconnectNotify()
	eventually(t, "malformed is counted", func() bool { return b.Counters().Malformed.Load() == 1 })
	a.Send(t.Context(), b.Address(), membership.Heartbeat{Sequence: 2})
	is.Equal((<-hb.heartbeats).Sequence, uint64(2))
	is.Equal(a.Counters().Connects.Load(), int64(1))
}

// Guards against senders that wait for a peer that is down, and against links
// that don't come back with the peer.
func TestSenderNeverWaitsAndReconnects(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", nil)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := reserved.Addr().String()
	is.NoErr(reserved.Close())
	for i := range 1000 {
		a.Send(t.Context(), address, membership.Heartbeat{Sequence: uint64(i + 1)})
	}
	_, err = a.Hello(t.Context(), address)
	is.True(errors.Is(err, ErrUnreachable))
	_, hb := startPeer(t, "b", func(o *Options) { o.Listen = address })
	eventually(t, "heartbeat after the peer came up", func() bool {
		a.Send(t.Context(), address, membership.Heartbeat{Sequence: 2000})
		return len(hb.heartbeats) > 0
	})
	is.Equal((<-hb.heartbeats).Sequence, uint64(2000))
}

// Guards against a connection that was cut without a reset and is used on.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	a, _ := startPeer(t, "a", func(o *Options) { o.IdleTimeout, o.AckEvery = 300*time.Millisecond, 50*time.Millisecond })
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
	a.Send(t.Context(), address, membership.Heartbeat{Sequence: 1})
	is.Equal((<-hb.heartbeats).Sequence, uint64(1))
	cut.Store(true)
	sequence := uint64(1)
	eventually(t, "heartbeat over a new connection", func() bool {
		sequence++
		a.Send(t.Context(), address, membership.Heartbeat{Sequence: sequence})
		return len(hb.heartbeats) > 0
	})
	is.True(a.Counters().Connects.Load() >= 2)
}

// forward copies until an error, and swallows data while cut is set.
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

// Guards against TLS that is not used, or whose certificate can't be replaced
// while running.
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
	a.Send(t.Context(), b.Address(), membership.Heartbeat{Sequence: 1})
	<-hb.heartbeats
	plain, _ := startPeer(t, "plain", nil)
	_, err := plain.Hello(t.Context(), b.Address())
	is.True(errors.Is(err, ErrUnreachable))
	unknown := newCertificate(t, x509.NewCertPool())
	current.Store(unknown)
	c, _ := startPeer(t, "c", secure)
	_, err = c.Hello(t.Context(), b.Address())
	is.True(errors.Is(err, ErrUnreachable)) // the new certificate is in use, and not trusted
}

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

// Guards against panics and against frames beyond the bound.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := readFrame(bufio.NewReader(bytes.NewReader(data)), func() int64 { return 64 })
		if err == nil && (len(got) == 0 || len(got) > 64) {
			t.Fatalf("frame of %d bytes", len(got))
		}
	})
}

// BenchmarkLoopback measures the processor time of one heartbeat over a
// connection, sender and receiver together, and its bytes with frames.
func BenchmarkLoopback(b *testing.B) {
	is := is.New(b)
	a, _ := startPeer(b, "a", nil)
	c, hc := startPeer(b, "c", nil)
	var prepared [60]membership.Heartbeat // the load has a period of 60
	for i := range prepared {
		prepared[i] = benchHeartbeat(i)
	}
	var before, after syscall.Rusage
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	bytesBefore := a.count.BytesSent.Load()
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		h := prepared[sequence%60]
		h.Sequence = sequence
		a.Send(b.Context(), c.Address(), h)
		<-hc.heartbeats
	}
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	spent := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/heartbeat")
	b.ReportMetric(float64(a.count.BytesSent.Load()-bytesBefore)/float64(b.N), "bytes/heartbeat")
}
