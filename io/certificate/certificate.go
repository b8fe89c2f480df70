// Package certificate loads TLS certificates and keeps them fresh.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Files name the files of a source. Empty names mean no TLS.
type Files struct {
	Certificate string
	Key         string
	// ClientCA signs the certificates that operators and peers must present; empty
	// asks for none.
	ClientCA string
}

// checkInterval is how long a loaded certificate is used before its file is looked
// at again. Renewals happen days before a certificate ends.
const checkInterval = 30 * time.Second

// Source gives TLS configurations whose certificate follows its file. It is safe
// for concurrent use.
type Source struct {
	files   Files
	clients *x509.CertPool

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// NewSource loads the files. It returns an error that names the file.
func NewSource(files Files) (*Source, error) {
	s := &Source{files: files}
	if files.Certificate == "" {
		return s, nil
	}
	if err := s.load(); err != nil {
		return nil, err
	}
	if files.ClientCA == "" {
		return s, nil
	}
	data, err := os.ReadFile(files.ClientCA)
	if err != nil {
		return nil, errors.Wrap(err, "client CA")
	}
	s.clients = x509.NewCertPool()
	if !s.clients.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("client CA: no certificate in %s", files.ClientCA)
	}
	return s, nil
}

// ServerConfig returns the configuration for callers, or nil without TLS.
func (s *Source) ServerConfig() *tls.Config {
	if s.files.Certificate == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.certificate}
}

// MutualTLSConfig returns the configuration for operators and peers, who present a
// certificate of the client CA, or nil without TLS.
func (s *Source) MutualTLSConfig() *tls.Config {
	c := s.ServerConfig()
	if c != nil && s.clients != nil {
		c.ClientCAs = s.clients
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// ClientConfig returns the configuration of connections to other instances, which present
// the same certificate and trust the same CA, or nil without TLS. Instances are named
// by IP number, so certificates must list the instance's IP.
func (s *Source) ClientConfig() *tls.Config {
	if s.files.Certificate == "" {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, RootCAs: s.clients,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.certificate(nil)
		},
	}
}

// certificate returns the current certificate. While a new file can't be loaded,
// as in the middle of a replacement, the old certificate stays in use.
func (s *Source) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) >= checkInterval {
		_ = s.load()
	}
	return s.current, nil
}

// load reads the certificate if its file has changed. The caller holds the lock,
// except before the source is shared.
func (s *Source) load() error {
	s.checked = time.Now()
	info, err := os.Stat(s.files.Certificate)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	if s.current != nil && info.ModTime().Equal(s.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Wrapf(err, "certificate %s", s.files.Certificate)
	}
	s.current, s.modified = &pair, info.ModTime()
	return nil
}
