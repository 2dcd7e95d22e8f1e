package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
)

// Peer returns the configuration for one new connection to another entry node.
// With a CA file the other node must present a certificate signed by that
// authority, for any name, because the authority signs only entry nodes, their
// addresses change with their VMs, and each message names its sender. Without a
// CA file it returns the configuration of Client for host.
func (l *Loader) Peer(host string) *tls.Config {
	current := l.currentMaterial()
	config := l.Client(host)
	if current.authorities == nil {
		return config
	}
	config.InsecureSkipVerify = true // skips only the name check: VerifyConnection verifies the chain
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return current.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
	}
	return config
}

// VerifyClient verifies the certificates that a client presented when it connected
// against the current authorities. Without a CA file it verifies nothing.
func (l *Loader) VerifyClient(presented []*x509.Certificate) error {
	current := l.currentMaterial()
	if current.authorities == nil {
		return nil
	}
	return current.verify(presented, x509.ExtKeyUsageClientAuth)
}

// Generation returns the number of reloads of changed files. A connection made
// before the latest reload has a lower generation.
func (l *Loader) Generation() uint64 {
	l.currentMaterial()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

func (m *material) verify(presented []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(presented) == 0 {
		return &NoCertificateError{}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range presented[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := presented[0].Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return &UntrustedError{Subject: presented[0].Subject.String(), Cause: err}
	}
	return nil
}
