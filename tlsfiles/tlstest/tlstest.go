// Package tlstest creates certificate authorities and certificate files for
// tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/settings"
)

// Authority signs certificates for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority creates an authority.
func NewAuthority(t testing.TB, name string) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must(t, err)
	certificate, err := x509.ParseCertificate(der)
	must(t, err)
	return &Authority{certificate: certificate, key: key, serial: 1}
}

// Write writes a new certificate for a node, its key and the authorities that it
// trusts to a directory, replacing earlier files.
func (a *Authority) Write(t testing.TB, dir, node string, trusted ...*Authority) settings.TLS {
	t.Helper()
	key := newKey(t)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: node}, DNSNames: []string{node},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	must(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must(t, err)
	files := settings.TLS{
		CertFile: filepath.Join(dir, node+".crt"),
		KeyFile:  filepath.Join(dir, node+".key"),
		CAFile:   filepath.Join(dir, node+"-ca.crt"),
	}
	replace(t, files.KeyFile, encode("PRIVATE KEY", private))
	replace(t, files.CertFile, encode("CERTIFICATE", der))
	var authorities []byte
	for _, authority := range trusted {
		authorities = append(authorities, encode("CERTIFICATE", authority.certificate.Raw)...)
	}
	replace(t, files.CAFile, authorities)
	return files
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// replace replaces a file by renaming a new one over it, as an operator should.
func replace(t testing.TB, path string, data []byte) {
	t.Helper()
	must(t, os.WriteFile(path+".new", data, 0o600))
	must(t, os.Rename(path+".new", path))
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	return key
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
