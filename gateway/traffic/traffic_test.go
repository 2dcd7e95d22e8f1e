package traffic_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/traffic"
)

func TestBytesAreCountedByPeerAndZone(t *testing.T) {
	g := gomega.NewWithT(t)
	own, other := traffic.Between(traffic.Nodes, "a", "a"), traffic.Between(traffic.Nodes, "a", "b")
	unknown := traffic.Between(traffic.Nodes, "a", "")
	g.Expect(own).NotTo(gomega.Equal(other))
	g.Expect(unknown).NotTo(gomega.Equal(other))
	local, peer := net.Pipe()
	counted := other.Conn(local)
	go func() { _, _ = io.WriteString(peer, "12345"); _, _ = io.ReadAll(peer) }()
	_, err := io.ReadFull(counted, make([]byte, 5))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(counted, "123")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(counted.Close()).To(gomega.Succeed())
	_, err = io.ReadAll(own.Reader(strings.NewReader("1234567")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	otherSent, otherReceived := other.Bytes()
	ownSent, ownReceived := own.Bytes()
	unknownSent, _ := unknown.Bytes()
	g.Expect([]int64{otherReceived, otherSent, ownReceived, ownSent, unknownSent}).To(gomega.Equal([]int64{5, 3, 7, 0, 0}))
}
