package socket_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

func pair(g *gomega.WithT) (here, there *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	dialed, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listener.Close()).To(gomega.Succeed())
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestWhatHasArrivedIsTold(t *testing.T) {
	const patience = 10 * time.Second
	for name, row := range map[string]struct {
		do   func(there *net.TCPConn) error
		want socket.State
	}{
		"bytes":  {func(there *net.TCPConn) error { _, err := there.Write([]byte("x")); return err }, socket.Bytes},
		"closed": {func(there *net.TCPConn) error { return there.Close() }, socket.Ended},
		"reset": {func(there *net.TCPConn) error {
			if err := there.SetLinger(0); err != nil {
				return err
			}
			return there.Close()
		}, socket.Ended},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			here, there := pair(g)
			defer func() { _ = here.Close() }()
			defer func() { _ = there.Close() }()
			g.Expect(socket.Look(here)).To(gomega.Equal(socket.Quiet))
			g.Expect(row.do(there)).To(gomega.Succeed())
			g.Eventually(func() socket.State { return socket.Look(here) }, patience).Should(gomega.Equal(row.want))
			g.Expect(socket.Look(here)).To(gomega.Equal(row.want), "nothing was taken")
		})
	}
}

func TestAConnectionClosedHereHasEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	here, there := pair(g)
	defer func() { _ = there.Close() }()
	g.Expect(here.Close()).To(gomega.Succeed())
	g.Expect(socket.Look(here)).To(gomega.Equal(socket.Ended))
}

func TestWhatTheOtherMachineHasNotTakenIsTold(t *testing.T) {
	g := gomega.NewWithT(t)
	here, there := pair(g)
	defer func() { _ = there.Close() }()
	unacknowledged := func() int {
		bytes, known := socket.Unacknowledged(here)
		g.Expect(known).To(gomega.BeTrue())
		return bytes
	}
	_, err := here.Write([]byte("a few bytes"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(unacknowledged).WithTimeout(10*time.Second).Should(gomega.BeZero(), "nobody has read them, and they have arrived")

	g.Expect(here.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(gomega.Succeed())
	_, err = here.Write(make([]byte, 64<<20))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(unacknowledged()).To(gomega.BeNumerically(">", 0), "no room there")

	g.Expect(here.Close()).To(gomega.Succeed())
	_, known := socket.Unacknowledged(here)
	g.Expect(known).To(gomega.BeFalse())
}
