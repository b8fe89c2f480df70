package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/io/certificate"
)

// writeCertificate writes a self-signed certificate that is its own CA.
func writeCertificate(t *testing.T, dir string, serial int64) certificate.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := certificate.Files{Certificate: filepath.Join(dir, "tls.crt"), Key: filepath.Join(dir, "tls.key")}
	for name, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against a renewed certificate that takes effect only after a restart, and against a
// partly replaced file that makes the port unavailable.
func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	files := writeCertificate(t, dir, 1)
	synctest.Test(t, func(t *testing.T) {
		source, err := certificate.NewSource(files)
		if err != nil {
			t.Fatal(err)
		}
		serial := func() int64 {
			c, err := source.ServerConfig().GetCertificate(nil)
			if err != nil {
				t.Fatal(err)
			}
			leaf, err := x509.ParseCertificate(c.Certificate[0])
			if err != nil {
				t.Fatal(err)
			}
			return leaf.SerialNumber.Int64()
		}
		if err := os.WriteFile(files.Key, []byte("half a file"), 0o600); err != nil {
			t.Fatal(err)
		}
		touch(t, files.Certificate, 1)
		time.Sleep(time.Minute)
		if got := serial(); got != 1 {
			t.Errorf("serial %d during the replacement, want 1", got)
		}
		writeCertificate(t, dir, 2)
		touch(t, files.Certificate, 2)
		time.Sleep(time.Minute)
		if got := serial(); got != 2 {
			t.Errorf("serial %d after the replacement, want 2", got)
		}
	})
}

// touch sets the modification time of the file, so that it differs from earlier versions.
func touch(t *testing.T, name string, seconds int64) {
	t.Helper()
	at := time.Unix(seconds, 0)
	if err := os.Chtimes(name, at, at); err != nil {
		t.Fatal(err)
	}
}

// Guards against a port for operators or peers that accepts clients without a certificate.
func TestMutualTLSRequiresClientCertificate(t *testing.T) {
	files := writeCertificate(t, t.TempDir(), 1)
	files.ClientCA = files.Certificate
	source, err := certificate.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	l, err := tls.Listen("tcp", "127.0.0.1:0", source.MutualTLSConfig())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: nil}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	url := "https://" + l.Addr().String()

	trusted := &http.Client{Transport: &http.Transport{TLSClientConfig: source.ClientConfig()}}
	resp, err := trusted.Get(url)
	if err != nil {
		t.Fatalf("request with a client certificate: %v", err)
	}
	_ = resp.Body.Close()

	anonymous := source.ClientConfig()
	anonymous.GetClientCertificate = nil
	untrusted := &http.Client{Transport: &http.Transport{TLSClientConfig: anonymous}}
	if resp, err := untrusted.Get(url); err == nil {
		_ = resp.Body.Close()
		t.Error("request without a client certificate succeeded")
	} else if !strings.Contains(err.Error(), "certificate") {
		t.Errorf("unexpected error: %v", err)
	}
}
