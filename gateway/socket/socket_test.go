package socket_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

func connPair(g *gomega.WithT) (local, peer *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	dialed, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listener.Close()).To(gomega.Succeed())
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestPeekReturnsTheStateOfTheConnection(t *testing.T) {
	const timeout = 10 * time.Second
	for name, row := range map[string]struct {
		do   func(peer *net.TCPConn) error
		want socket.State
	}{
		"bytes":  {func(peer *net.TCPConn) error { _, err := peer.Write([]byte("x")); return err }, socket.Readable},
		"closed": {func(peer *net.TCPConn) error { return peer.Close() }, socket.Ended},
		"reset": {func(peer *net.TCPConn) error {
			if err := peer.SetLinger(0); err != nil {
				return err
			}
			return peer.Close()
		}, socket.Ended},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			local, peer := connPair(g)
			defer func() { _ = local.Close() }()
			defer func() { _ = peer.Close() }()
			g.Expect(socket.Peek(local)).To(gomega.Equal(socket.Idle))
			g.Expect(row.do(peer)).To(gomega.Succeed())
			g.Eventually(func() socket.State { return socket.Peek(local) }, timeout).Should(gomega.Equal(row.want))
			g.Expect(socket.Peek(local)).To(gomega.Equal(row.want), "no bytes were consumed")
		})
	}
}

func TestConnectionClosedLocallyHasEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	local, peer := connPair(g)
	defer func() { _ = peer.Close() }()
	g.Expect(local.Close()).To(gomega.Succeed())
	g.Expect(socket.Peek(local)).To(gomega.Equal(socket.Ended))
}

func TestUnacknowledgedCountsBytesThePeerHasNotAcknowledged(t *testing.T) {
	g := gomega.NewWithT(t)
	local, peer := connPair(g)
	defer func() { _ = peer.Close() }()
	unacknowledged := func() int {
		bytes, known := socket.Unacknowledged(local)
		g.Expect(known).To(gomega.BeTrue())
		return bytes
	}
	_, err := local.Write([]byte("a few bytes"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(unacknowledged).WithTimeout(10*time.Second).Should(gomega.BeZero(), "the bytes were received but not read")

	g.Expect(local.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(gomega.Succeed())
	_, err = local.Write(make([]byte, 64<<20))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(unacknowledged()).To(gomega.BeNumerically(">", 0), "the receive buffer of the peer is full")

	g.Expect(local.Close()).To(gomega.Succeed())
	_, known := socket.Unacknowledged(local)
	g.Expect(known).To(gomega.BeFalse())
}

// A reset is known also after another call has been told of it.
func TestResetIsKnownAfterItWasReported(t *testing.T) {
	g := gomega.NewWithT(t)
	local, peer := connPair(g)
	defer func() { _ = local.Close() }()
	g.Expect(socket.IsReset(local)).To(gomega.BeFalse())
	g.Expect(peer.SetLinger(0)).To(gomega.Succeed())
	g.Expect(peer.Close()).To(gomega.Succeed())
	g.Eventually(func() socket.State { return socket.Peek(local) }).Should(gomega.Equal(socket.Ended))
	g.Expect(socket.IsReset(local)).To(gomega.BeTrue())

	local, peer = connPair(g)
	defer func() { _ = local.Close() }()
	g.Expect(peer.Close()).To(gomega.Succeed())
	g.Eventually(func() socket.State { return socket.Peek(local) }).Should(gomega.Equal(socket.Ended))
	g.Expect(socket.IsReset(local)).To(gomega.BeFalse(), "closed without a reset")
}
