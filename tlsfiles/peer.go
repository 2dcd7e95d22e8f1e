package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
)

// Peer returns the configuration for one new connection to another entry node.
// With a CA file the other side must show a certificate signed by it, for
// whatever name: that authority signs entry nodes only, their addresses change
// with their VMs, and each message names its sender. Without one it is Client's
// configuration for the address's host.
func (l *Loader) Peer(host string) *tls.Config {
	now := l.refreshed()
	config := l.Client(host)
	if now.authorities == nil {
		return config
	}
	config.InsecureSkipVerify = true // of the name only: VerifyConnection checks the chain
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return now.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
	}
	return config
}

// VerifyClient checks what a client showed when its connection was made against
// the authorities that are current now. Without a CA file nothing is checked.
func (l *Loader) VerifyClient(shown []*x509.Certificate) error {
	now := l.refreshed()
	if now.authorities == nil {
		return nil
	}
	return now.verify(shown, x509.ExtKeyUsageClientAuth)
}

// Generation counts the times that changed files were taken into use, so that a
// connection made earlier is known by a lower number.
func (l *Loader) Generation() uint64 {
	l.refreshed()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

func (m *material) verify(shown []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(shown) == 0 {
		return &NoCertificateError{}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range shown[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := shown[0].Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return &UntrustedError{Subject: shown[0].Subject.String(), Cause: err}
	}
	return nil
}
