// Package certs keeps TLS certificates and keys read from files up to date, so
// that they rotate without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("certs")

// recheckInterval is the shortest interval between checks of the files' modification times.
const recheckInterval = 5 * time.Second

// Files are the paths of a PEM certificate chain, its key, and the authority that
// signs the peers' certificates. Authority is empty where peers need no certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// loaded is the parsed content of the files.
type loaded struct {
	pair     tls.Certificate
	roots    *x509.CertPool // nil without an authority
	modTimes [3]time.Time   // modification times when read
}

// Store holds the last valid content of Files. Safe for concurrent use.
type Store struct {
	files   Files
	mu      sync.Mutex
	current loaded
	checked time.Time
}

// Open reads the files. Unlike later reads it fails if one is missing or invalid.
func Open(f Files) (*Store, error) {
	l, err := read(f)
	if err != nil {
		return nil, err
	}
	return &Store{files: f, current: l, checked: time.Now()}, nil
}

// get returns the last valid content. Files that are invalid, for instance because
// they are being replaced, are ignored: a half-written key must not stop a daemon
// that has a valid one.
func (s *Store) get() loaded {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < recheckInterval {
		return s.current
	}
	s.checked = time.Now()
	if modTimes(s.files) == s.current.modTimes {
		return s.current
	}
	if l, err := read(s.files); err == nil {
		s.current = l
	}
	return s.current
}

// Server returns a configuration for listeners, which uses rotated files for new
// connections. With an authority, clients must present a certificate that it signed.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := s.get()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.pair},
				NextProtos:   []string{"http/1.1"},
			}
			if l.roots != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = l.roots
			}
			return c, nil
		},
	}
}

// Client returns a configuration for one new connection to another daemon. It isn't
// updated when files rotate.
func (s *Store) Client() *tls.Config {
	l := s.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.pair},
		RootCAs:      l.roots,
	}
}

func read(f Files) (loaded, error) {
	l := loaded{modTimes: modTimes(f)}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return l, Error.Wrap(err)
	}
	l.pair = pair
	if f.Authority == "" {
		return l, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return l, Error.Wrap(err)
	}
	l.roots = x509.NewCertPool()
	if !l.roots.AppendCertsFromPEM(pem) {
		return l, Error.New("%s holds no certificate", f.Authority)
	}
	return l, nil
}

func modTimes(f Files) [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
