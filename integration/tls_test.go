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

// certificateAuthority issues the certificates of a test.
type certificateAuthority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string // its certificate in PEM format
}

func newCertificateAuthority(t *testing.T, dir, name string) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, file: filepath.Join(dir, name+".pem")}
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
	a.writePEM(a.file, "CERTIFICATE", der)
	return a
}

func (a *certificateAuthority) writePEM(file, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issueCertificate issues a certificate and writes it and its key to base.crt and
// base.key.
func (a *certificateAuthority) issueCertificate(base string, serial int64) {
	a.t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: filepath.Base(base)}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(sharedHost())},
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
	a.writePEM(base+".key", "EC PRIVATE KEY", private)
	a.writePEM(base+".crt", "CERTIFICATE", der)
}

// newClient returns an HTTP client that trusts the authority. If base is not empty, the
// client presents the certificate in base.crt.
func (a *certificateAuthority) newClient(base string) *http.Client {
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

// tlsSettings returns the TLS sections of an instance's settings.
func tlsSettings(ca, base string) string {
	out := fmt.Sprintf("\n[tls.callers]\ncert_file = %q\nkey_file = %q\n", base+".crt", base+".key")
	for _, part := range []string{"operators", "peers"} {
		out += fmt.Sprintf("[tls.%s]\ncert_file = %q\nkey_file = %q\nclient_ca_file = %q\n", part, base+".crt", base+".key", ca)
	}
	return out
}

// Guards against certificate rotation that breaks connections, against accepting
// operators or peers without a valid certificate or secret, and against an instance
// that fails after it receives malformed data on its peer listener.
func TestTLSBetweenCallersOperatorsAndPeers(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, base := newCertificateAuthority(t, dir, "authority"), filepath.Join(dir, "node")
	ca.issueCertificate(base, 2)
	d := startDeployment(t, options{extraSettings: tlsSettings(ca.file, base), callerClient: ca.newClient(""), operatorClient: ca.newClient(base)})
	first := d.members()[0]

	_, err := operator.NewClient("https://"+first.operatorAddress, operatorToken, ca.newClient("")).Status(t.Context())
	is.True(err != nil) // a client without a certificate is rejected

	started, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		_, err := streamAnswer(t.Context(), first, modelName(0), uniqueText("rotation"), longStreamTokens, func() { close(started) })
		ended <- err
	}()
	<-started
	ca.issueCertificate(base, 3)
	waitFor(t, "the new certificate", func() bool {
		conn, err := tls.Dial("tcp", first.callerAddress, &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return false
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64() == 3
	})
	is.NoErr(<-ended)

	unknown := newCertificateAuthority(t, dir, "unknown")
	unknown.issueCertificate(filepath.Join(dir, "stranger"), 2)
	wrongSecret := d.startRejectedInstance("another-secret-of-the-tests", d.options.extraSettings)
	wrongCertificate := d.startRejectedInstance(peerSecret, tlsSettings(unknown.file, filepath.Join(dir, "stranger")))
	wrongCertificate.operatorClient = unknown.newClient(filepath.Join(dir, "stranger"))
	for _, rejected := range []*instance{wrongSecret, wrongCertificate} {
		waitNoError(t, rejected.id+" to have tried its peers", func() error {
			_, err := rejected.newOperatorClient().Status(t.Context())
			return err
		})
	}
	sendGarbage(t, first.peerLink.address())
	d.waitRevision(d.editRow(first, modelName(1), setMinReplicas(2)))
	d.waitReachable()
	s, err := first.newOperatorClient().Status(t.Context())
	is.NoErr(err)
	for _, i := range s.Instances {
		if i.ID == wrongSecret.id || i.ID == wrongCertificate.id {
			is.True(i.State != "alive") // a rejected instance must not be a member
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

// startRejectedInstance starts an instance whose secret or certificate its peers must
// reject.
func (d *deployment) startRejectedInstance(secret, extra string) *instance {
	d.t.Helper()
	i := d.newInstance(secret, extra)
	d.listInstance(i)
	i.process = startProcess(d.t, d.dir, i.id, "serve", "--config", i.settingsFile)
	waitListening(d.t, i.process, i.callerAddress)
	return i
}

// sendGarbage sends bytes that are not valid peer messages to a peer listener.
func sendGarbage(t *testing.T, address string) {
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

// Guards against malformed data on a peer listener without TLS that makes the instance
// or its connections to other peers fail.
func TestGarbageFromAPeer(t *testing.T) {
	d := startDeployment(t, options{})
	l := d.startLoad(10)
	for range 20 {
		for _, i := range d.members() {
			sendGarbage(t, i.peerLink.address())
		}
	}
	d.waitRevision(d.editRow(d.members()[0], modelName(1), setMinReplicas(2)))
	o := l.stopAndWait()
	d.checkSafety(o)
	checkAllServed(t, o)
}
