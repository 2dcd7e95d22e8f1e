package tlsfiles_test

import (
	"crypto/tls"
	"errors"
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/tlsfiles"
	"github.com/burdockspindle/burdockspindle/tlsfiles/tlstest"
)

func open(t *testing.T, by *tlstest.Authority, node string, trusted *tlstest.Authority) *tlsfiles.Loader {
	t.Helper()
	loader, err := tlsfiles.New(by.Write(t, t.TempDir(), node, trusted), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	return loader
}

// connect connects two nodes over loopback. It returns the server's connection
// state with the certificates that the client presented, and each side's error.
func connect(t *testing.T, server, client *tlsfiles.Loader) (shown tls.ConnectionState, serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	b, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	accepted := tls.Server(a, server.Server())
	go func() {
		err := accepted.Handshake()
		if err == nil {
			_, err = accepted.Write([]byte{1})
		}
		_ = a.Close()
		done <- err
	}()
	conn := tls.Client(b, client.Peer("192.0.2.1"))
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1)) // the server may reject the client after the handshake
	}
	_ = b.Close()
	serverErr = <-done
	return accepted.ConnectionState(), serverErr, clientErr
}

func TestPeersTrustTheSitesAuthorityForAnyAddress(t *testing.T) {
	site, other := tlstest.NewAuthority(t, "site"), tlstest.NewAuthority(t, "other")
	cases := []struct {
		name               string
		serverBy, clientBy *tlstest.Authority
		refused            bool
	}{
		{"both of the site", site, site, false},
		{"client of another authority", site, other, true},
		{"server of another authority", other, site, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, serverErr, clientErr := connect(t, open(t, c.serverBy, "server", site), open(t, c.clientBy, "client", site))
			g.Expect(serverErr != nil).To(gomega.Equal(c.refused), "server: %v", serverErr)
			g.Expect(clientErr != nil).To(gomega.Equal(c.refused), "client: %v", clientErr)
		})
	}
}

func TestAnUntrustedPeerHasATypedError(t *testing.T) {
	g := gomega.NewWithT(t)
	site, other := tlstest.NewAuthority(t, "site"), tlstest.NewAuthority(t, "other")
	_, _, err := connect(t, open(t, other, "server", site), open(t, site, "client", site))
	var untrusted *tlsfiles.UntrustedError
	g.Expect(errors.As(err, &untrusted)).To(gomega.BeTrue(), "%v", err)
}

func TestAnEarlierClientIsCheckedAgainstTheCurrentAuthorities(t *testing.T) {
	g := gomega.NewWithT(t)
	site, next := tlstest.NewAuthority(t, "site"), tlstest.NewAuthority(t, "next")
	state, _, _ := connect(t, open(t, site, "server", site), open(t, site, "client", site))
	g.Expect(open(t, site, "server", site).VerifyClient(state.PeerCertificates)).To(gomega.Succeed())
	g.Expect(open(t, next, "server", next).VerifyClient(state.PeerCertificates)).NotTo(gomega.Succeed())
	g.Expect(open(t, site, "server", site).VerifyClient(nil)).NotTo(gomega.Succeed())
}
