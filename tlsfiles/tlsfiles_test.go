package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/settings"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate, a.key = a.sign(template, nil)
	return a
}

func (a *authority) sign(template *x509.Certificate, parent *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	g := gomega.NewWithT(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, key.Public(), signerKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return certificate, key
}

// write writes a leaf certificate with the serial number, its key and the
// authority's certificate to dir.
func (a *authority) write(dir string, serial int64) settings.TLS {
	g := gomega.NewWithT(a.t)
	leaf, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a)
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	put := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		g.Expect(os.WriteFile(path, text, 0o600)).To(gomega.Succeed())
		stamp := time.Unix(1_000_000+serial, 0)
		g.Expect(os.Chtimes(path, stamp, stamp)).To(gomega.Succeed())
		return path
	}
	return settings.TLS{
		CertFile: put("cert.pem", "CERTIFICATE", leaf.Raw),
		KeyFile:  put("key.pem", "EC PRIVATE KEY", keyDER),
		CAFile:   put("ca.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

// handshake connects over loopback and returns the serial number of the server's
// certificate.
func handshake(server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = accepted.Write([]byte{1})
		_ = accepted.Close()
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestBothSidesPresentCertificates(t *testing.T) {
	g := gomega.NewWithT(t)
	good := newAuthority(t)
	node, err := New(good.write(t.TempDir(), 2), hclog.NewNullLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stranger, err := New(newAuthority(t).write(t.TempDir(), 3), hclog.NewNullLogger())
	g.Expect(err).NotTo(gomega.HaveOccurred())

	serial, err := handshake(node.Server(), node.Client("127.0.0.1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(serial).To(gomega.Equal(int64(2)))

	_, err = handshake(stranger.Server(), node.Client("127.0.0.1"))
	g.Expect(err).To(gomega.HaveOccurred(), "the server's certificate is signed by another authority")

	bare := node.Client("127.0.0.1")
	bare.Certificates = nil
	_, err = handshake(node.Server(), bare)
	g.Expect(err).To(gomega.HaveOccurred(), "the client shows no certificate")

	_, err = handshake(node.Server(), node.Client("127.0.0.2"))
	g.Expect(err).To(gomega.HaveOccurred(), "the certificate is for another address")
}

func TestChangedFilesAreLoadedAndInvalidOnesAreNot(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	signer := newAuthority(t)
	now := time.Unix(0, 0)
	loader, err := newAt(signer.write(dir, 2), hclog.NewNullLogger(), func() time.Time { return now })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := loader.Server()
	serial := func() int64 {
		got, err := handshake(server, loader.Client("127.0.0.1"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return got
	}

	signer.write(dir, 5)
	g.Expect(serial()).To(gomega.Equal(int64(2)), "looked at again only after a while")
	now = now.Add(checkInterval)
	g.Expect(serial()).To(gomega.Equal(int64(5)))

	g.Expect(os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half a file"), 0o600)).To(gomega.Succeed())
	now = now.Add(checkInterval)
	g.Expect(serial()).To(gomega.Equal(int64(5)), "the last good files stay in use")

	signer.write(dir, 7)
	now = now.Add(checkInterval)
	g.Expect(serial()).To(gomega.Equal(int64(7)))
}

func TestFilesThatCannotBeUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	files := newAuthority(t).write(t.TempDir(), 2)
	var readError *ReadError
	_, err := New(settings.TLS{CertFile: files.CertFile, KeyFile: files.CAFile}, hclog.NewNullLogger())
	g.Expect(errors.As(err, &readError)).To(gomega.BeTrue())
	_, err = New(settings.TLS{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: files.KeyFile}, hclog.NewNullLogger())
	var none *NoCertificateError
	g.Expect(errors.As(err, &none)).To(gomega.BeTrue())
}
