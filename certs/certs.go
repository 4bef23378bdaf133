// Package certs makes TLS configurations whose certificates are read again
// when their files change, so that a rotation needs no restart and cuts no
// connection.
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

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Files names PEM files. ClientCA is optional.
type Files struct {
	Cert     string
	Key      string
	ClientCA string // authorities that client certificates must be signed by
}

// Source holds the current certificates of one listener or client.
type Source struct {
	files Files
	vars  *expvar.Map

	mu        sync.Mutex
	checked   time.Time
	modified  time.Time
	pair      *tls.Certificate
	authority *x509.CertPool
}

// Counters returns the counters of a process's sources, all of them 0.
func Counters() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Add("reloads", 0)
	vars.Add("reload_failures", 0)
	return vars
}

// New reads the files. Counters of reloads go to vars.
func New(files Files, vars *expvar.Map) (*Source, error) {
	s := &Source{files: files, vars: vars}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// Server returns the configuration of a listener. If a client authority is
// set, clients must present a certificate signed by it.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, authority := s.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}}
			if authority != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, authority
			}
			return c, nil
		},
	}
}

// Client returns the configuration of a client that presents the certificate
// and accepts servers signed by the authority. Peers are reached by IP number,
// so the certificate's chain is verified and its name is not.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return pair, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain
		VerifyConnection:   s.verifyServer,
	}
}

func (s *Source) verifyServer(state tls.ConnectionState) error {
	_, authority := s.current()
	if authority == nil || len(state.PeerCertificates) == 0 {
		return fmt.Errorf("certs: no authority to verify the server with")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// current returns the newest certificates that could be read.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checked) >= checkInterval {
		s.checked = now
		if newest := s.newestFile(); newest.After(s.modified) {
			s.reload()
		}
	}
	return s.pair, s.authority
}

// reload keeps the old certificates if the new ones can't be read, for
// instance because only one of the files was replaced so far.
func (s *Source) reload() {
	if err := s.load(); err != nil {
		s.vars.Add("reload_failures", 1)
		return
	}
	s.vars.Add("reloads", 1)
}

func (s *Source) load() error {
	modified := s.newestFile()
	pair, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	var authority *x509.CertPool
	if s.files.ClientCA != "" {
		data, err := os.ReadFile(s.files.ClientCA)
		if err != nil {
			return fmt.Errorf("read client authority: %w", err)
		}
		authority = x509.NewCertPool()
		if !authority.AppendCertsFromPEM(data) {
			return fmt.Errorf("read client authority: %s holds no certificate", s.files.ClientCA)
		}
	}
	s.pair, s.authority, s.modified = &pair, authority, modified
	return nil
}

func (s *Source) newestFile() time.Time {
	var newest time.Time
	for _, f := range []string{s.files.Cert, s.files.Key, s.files.ClientCA} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}
