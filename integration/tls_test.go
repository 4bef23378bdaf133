//go:build linux

package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/operator"
)

// authority signs the certificates of a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T, dir, name string) *authority {
	t.Helper()
	a := &authority{t: t, file: filepath.Join(dir, name+".pem")}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write(a.file, "CERTIFICATE", der)
	return a
}

func (a *authority) write(file, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue writes a certificate and its key to base.crt and base.key.
func (a *authority) issue(base string, serial int64) {
	a.t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: filepath.Base(base)}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(processHost())},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(base+".key", "EC PRIVATE KEY", private)
	a.write(base+".crt", "CERTIFICATE", der)
}

// client returns an HTTP client that trusts the authority and, if base is not
// empty, presents a certificate.
func (a *authority) client(base string) *http.Client {
	a.t.Helper()
	c := &tls.Config{RootCAs: x509.NewCertPool()}
	c.RootCAs.AddCert(a.cert)
	if base != "" {
		pair, err := tls.LoadX509KeyPair(base+".crt", base+".key")
		if err != nil {
			a.t.Fatal(err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Timeout: callerTimeout, Transport: &http.Transport{TLSClientConfig: c}}
}

func tlsSettings(ca, base string) string {
	out := fmt.Sprintf("\n[tls.callers]\ncert_file = %q\nkey_file = %q\n", base+".crt", base+".key")
	for _, part := range []string{"operators", "peers"} {
		out += fmt.Sprintf("[tls.%s]\ncert_file = %q\nkey_file = %q\nclient_ca_file = %q\n", part, base+".crt", base+".key", ca)
	}
	return out
}

// Guards against a rotation of certificates that cuts connections, operators
// and peers without a proper certificate or secret, and garbage on the peers'
// listener that harms an instance.
func TestTLSBetweenCallersOperatorsAndPeers(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, base := newAuthority(t, dir, "authority"), filepath.Join(dir, "node")
	ca.issue(base, 2)
	d := startDeployment(t, options{extraSettings: tlsSettings(ca.file, base), callers: ca.client(""), operators: ca.client(base)})
	first := d.members()[0]

	_, err := operator.NewClient("https://"+first.operators, operatorToken, ca.client("")).Status(t.Context())
	is.True(err != nil) // without a certificate

	begun, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		_, err := stream(t.Context(), first, modelName(0), newText("rotation"), longStream, func() { close(begun) })
		ended <- err
	}()
	<-begun
	ca.issue(base, 3)
	waitFor(t, "the new certificate", func() bool {
		conn, err := tls.Dial("tcp", first.callers, &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return false
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64() == 3
	})
	is.NoErr(<-ended)

	unknown := newAuthority(t, dir, "unknown")
	unknown.issue(filepath.Join(dir, "stranger"), 2)
	wrongSecret := d.startStranger("another-secret-of-the-tests", d.o.extraSettings)
	wrongCertificate := d.startStranger(peerSecret, tlsSettings(unknown.file, filepath.Join(dir, "stranger")))
	wrongCertificate.operatorClient = unknown.client(filepath.Join(dir, "stranger"))
	for _, stranger := range []*instance{wrongSecret, wrongCertificate} {
		waitNil(t, stranger.id+" to have tried its peers", func() error {
			_, err := stranger.operator().Status(t.Context())
			return err
		})
	}
	garbage(t, first.peers.address())
	d.waitInForce(d.edit(first, modelName(1), setMinReplicas(2)))
	d.waitReachable()
	s, err := first.operator().Status(t.Context())
	is.NoErr(err)
	for _, i := range s.Instances {
		if i.ID == wrongSecret.id || i.ID == wrongCertificate.id {
			is.True(i.State != "alive") // a stranger is no member
		}
	}
	is.Equal(countAlive(s), instanceCount)
}

func countAlive(s operator.Status) int {
	n := 0
	for _, i := range s.Instances {
		if i.State == "alive" {
			n++
		}
	}
	return n
}

// startStranger starts an instance that its peers must refuse.
func (d *deployment) startStranger(secret, extra string) *instance {
	d.t.Helper()
	i := d.newInstance(secret, extra)
	d.listInstance(i)
	i.process = startProcess(d.t, d.dir, i.id, "serve", "--config", i.config)
	waitListening(d.t, i.process, i.callers)
	return i
}

// garbage sends bytes that are no message to a listener of peers.
func garbage(t *testing.T, address string) {
	t.Helper()
	for _, text := range []string{"\x00\xff\x17garbage", "GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01\xff\xff\x01"} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(text))
		_ = conn.Close()
	}
}

// Guards against garbage on the peers' listener without TLS that harms an
// instance or its other peers.
func TestGarbageFromAPeer(t *testing.T) {
	d := startDeployment(t, options{})
	l := d.startLoad(10)
	for range 20 {
		for _, i := range d.members() {
			garbage(t, i.peers.address())
		}
	}
	d.waitInForce(d.edit(d.members()[0], modelName(1), setMinReplicas(2)))
	o := l.end()
	d.checkSafety(o)
	checkNothingCut(t, o)
}
