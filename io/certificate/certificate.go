// Package certificate loads TLS certificates and reloads them when their files change.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Files holds the names of PEM files. An empty Certificate disables TLS.
type Files struct {
	Certificate string
	Key         string
	// ClientCA holds the CA of the certificates that operators and peers must present; if
	// empty, none is required.
	ClientCA string
}

// checkInterval is the time between two checks of the certificate file for changes.
// Certificates are renewed days before they expire.
const checkInterval = 30 * time.Second

// Source provides TLS configurations with the current certificate of a file. It is safe for
// concurrent use.
type Source struct {
	files     Files
	clientCAs *x509.CertPool

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// NewSource loads the files and returns a source for them. The error names the file.
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
	s.clientCAs = x509.NewCertPool()
	if !s.clientCAs.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("client CA: no certificate in %s", files.ClientCA)
	}
	return s, nil
}

// ServerConfig returns the configuration of the port for callers, who need no certificate, or
// nil without TLS.
func (s *Source) ServerConfig() *tls.Config {
	if s.files.Certificate == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.certificate}
}

// MutualTLSConfig returns the configuration of the ports for operators and peers, or nil
// without TLS. If there is a client CA, clients must present a certificate that it signed.
func (s *Source) MutualTLSConfig() *tls.Config {
	c := s.ServerConfig()
	if c != nil && s.clientCAs != nil {
		c.ClientCAs = s.clientCAs
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// ClientConfig returns the configuration of connections to other instances, or nil without
// TLS. Clients present the certificate of the source and trust servers with a certificate of
// the client CA, or of the system's CAs if there is no client CA. Instances are addressed by
// IP, so certificates must contain the IP of the instance.
func (s *Source) ClientConfig() *tls.Config {
	if s.files.Certificate == "" {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, RootCAs: s.clientCAs,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.certificate(nil)
		},
	}
}

// certificate returns the current certificate. It keeps the previous one while the files
// cannot be loaded, for example while they are being replaced.
func (s *Source) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) >= checkInterval {
		_ = s.load()
	}
	return s.current, nil
}

// load reads the certificate if its file has changed. The lock must be held unless the source
// is not shared yet.
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
