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

// write makes a self-signed certificate that is its own CA.
func write(t *testing.T, dir string, serial int64) certificate.Files {
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

// Guards against a renewed certificate that needs a restart, and against a file in
// the middle of its replacement that takes the port down.
func TestCertificateFollowsItsFile(t *testing.T) {
	dir := t.TempDir()
	files := write(t, dir, 1)
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
			t.Errorf("serial %d while the file is being replaced, want 1", got)
		}
		write(t, dir, 2)
		touch(t, files.Certificate, 2)
		time.Sleep(time.Minute)
		if got := serial(); got != 2 {
			t.Errorf("serial %d after the replacement, want 2", got)
		}
	})
}

// touch gives the file a modification time that no earlier version had.
func touch(t *testing.T, name string, seconds int64) {
	t.Helper()
	at := time.Unix(seconds, 0)
	if err := os.Chtimes(name, at, at); err != nil {
		t.Fatal(err)
	}
}

// Guards against a private port that answers without a client certificate.
func TestPrivatePortNeedsClientCertificate(t *testing.T) {
	files := write(t, t.TempDir(), 1)
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
		t.Fatalf("with a certificate: %v", err)
	}
	_ = resp.Body.Close()

	anonymous := source.ClientConfig()
	anonymous.GetClientCertificate = nil
	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: anonymous}}
	if resp, err := stranger.Get(url); err == nil {
		_ = resp.Body.Close()
		t.Error("the port answered without a client certificate")
	} else if !strings.Contains(err.Error(), "certificate") {
		t.Errorf("unexpected error: %v", err)
	}
}
