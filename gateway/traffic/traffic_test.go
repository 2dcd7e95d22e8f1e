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
	sameZone, otherZone := traffic.Between(traffic.Nodes, "a", "a"), traffic.Between(traffic.Nodes, "a", "b")
	unknownZone := traffic.Between(traffic.Nodes, "a", "")
	g.Expect(sameZone).NotTo(gomega.Equal(otherZone))
	g.Expect(unknownZone).NotTo(gomega.Equal(otherZone))
	local, peer := net.Pipe()
	counted := otherZone.Conn(local)
	go func() { _, _ = io.WriteString(peer, "12345"); _, _ = io.ReadAll(peer) }()
	_, err := io.ReadFull(counted, make([]byte, 5))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(counted, "123")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(counted.Close()).To(gomega.Succeed())
	_, err = io.ReadAll(sameZone.Reader(strings.NewReader("1234567")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	otherSent, otherReceived := otherZone.Bytes()
	ownSent, ownReceived := sameZone.Bytes()
	unknownSent, _ := unknownZone.Bytes()
	g.Expect([]int64{otherReceived, otherSent, ownReceived, ownSent, unknownSent}).To(gomega.Equal([]int64{5, 3, 7, 0, 0}))
}
