// Package certs provides TLS configurations that reload their certificates when
// the files change, so that a rotation needs no restart and closes no connection.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = time.Second

// Files holds the paths of PEM files. CA is optional for listeners. Clients need it
// to verify servers.
type Files struct {
	Cert string
	Key  string
	CA   string // authorities by which the remote end's certificate must be signed
}

// Source holds the current certificate and authorities of one listener or
// client. It is safe for concurrent use.
type Source struct {
	files    Files
	counters *expvar.Map

	mu            sync.Mutex
	lastCheck     time.Time
	loadedModTime time.Time
	certificate   *tls.Certificate
	authorities   *x509.CertPool
}

// Counters returns the reload counters for the sources of a process, set to 0.
func Counters() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Add("reloads", 0)
	vars.Add("reload_failures", 0)
	return vars
}

// New returns a source with the certificates read from files. It counts reloads
// and failed reloads in counters.
func New(files Files, counters *expvar.Map) (*Source, error) {
	s := &Source{files: files, counters: counters}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// ServerConfig returns the configuration of a listener. If Files.CA is
// set, clients must present a certificate signed by one of its authorities.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := s.currentCertificates()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}}
			if authorities != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, authorities
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration of a client that presents the certificate
// and accepts servers whose certificate is signed by an authority in Files.CA. It
// verifies the certificate's chain but not its name, since peers are dialled by
// IP address.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.currentCertificates()
			return certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain
		VerifyConnection:   s.verifyServer,
	}
}

// verifyServer checks that the server's certificate is signed by one of the
// authorities for use by a server. It does not check the name.
func (s *Source) verifyServer(state tls.ConnectionState) error {
	_, authorities := s.currentCertificates()
	if authorities == nil || len(state.PeerCertificates) == 0 {
		return fmt.Errorf("certs: can't verify the server: no CA is set or the server sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// currentCertificates returns the certificate and the authorities, after
// reloading them if the files have changed.
func (s *Source) currentCertificates() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		if newest := s.latestModTime(); newest.After(s.loadedModTime) {
			s.reload()
		}
	}
	return s.certificate, s.authorities
}

// reload reads the files again and counts the outcome. It keeps the old
// certificates if the new ones can't be read, for instance because only one of
// the files has been replaced so far.
func (s *Source) reload() {
	if err := s.load(); err != nil {
		s.counters.Add("reload_failures", 1)
		return
	}
	s.counters.Add("reloads", 1)
}

// load reads the files. It changes nothing if one of them can't be read.
func (s *Source) load() error {
	modTime := s.latestModTime()
	certificate, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	var authorities *x509.CertPool
	if s.files.CA != "" {
		data, err := os.ReadFile(s.files.CA)
		if err != nil {
			return fmt.Errorf("read CA: %w", err)
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(data) {
			return fmt.Errorf("read CA: %s contains no certificate", s.files.CA)
		}
	}
	s.certificate, s.authorities, s.loadedModTime = &certificate, authorities, modTime
	return nil
}

// latestModTime returns the latest modification time of the files. Files that
// can't be examined are ignored.
func (s *Source) latestModTime() time.Time {
	var newest time.Time
	for _, f := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}
