package gateway

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/router"
	"github.com/burdockspindle/burdockspindle/gateway/transfer"
)

// serveLargeAnswer serves an answer that no buffer of the kernel holds, over a real listener, and returns a connection on which
// it was requested, and the error of the write.
func serveLargeAnswer(t *testing.T, stallTimeout time.Duration) (net.Conn, <-chan error) {
	t.Helper()
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	results := make(chan error, 1)
	server := callers.server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		callers.mu.Lock()
		for c := range callers.open {
			c.LimitStalls(stallTimeout)
		}
		callers.mu.Unlock()
		_, err := w.Write(make([]byte, largeAnswer))
		results <- err
	}))
	go func() { _ = server.Serve(&callerListener{Listener: listener, owner: callers}) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	g.Expect(conn.(*net.TCPConn).SetReadBuffer(16 << 10)).To(gomega.Succeed())
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return conn, results
}

const largeAnswer = 16 << 20

// Guards against answers that are held for as long as a caller does not read.
func TestConnectionOfACallerThatDoesNotReadIsReset(t *testing.T) {
	g := gomega.NewWithT(t)
	conn, results := serveLargeAnswer(t, 200*time.Millisecond)
	var err error
	g.Eventually(results).WithTimeout(10 * time.Second).Should(gomega.Receive(&err))
	var stalled *router.StalledError
	g.Expect(errors.As(err, &stalled)).To(gomega.BeTrue(), "%v", err)
	g.Eventually(func() error {
		_, err := conn.Read(make([]byte, 1<<20))
		return err
	}).WithTimeout(10 * time.Second).Should(gomega.HaveOccurred())
}

// Guards against an answer that is cut off although its caller reads, slowly: in all for longer than a write may stall.
func TestSlowReaderThatReadsOnGetsItsAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	const stallTimeout = time.Second
	conn, results := serveLargeAnswer(t, stallTimeout)
	reader := bufio.NewReaderSize(conn, 1<<20)
	startedAt := time.Now()
	for read := 0; read < largeAnswer; {
		n, err := reader.Read(make([]byte, 1<<20))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		read += n
		time.Sleep(stallTimeout * 2 * time.Duration(n) / largeAnswer)
	}
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically(">", stallTimeout))
	g.Expect(<-results).To(gomega.Succeed())
}

// Guards against large answers that take the memory of all others, and a link that is counted in bits.
func TestLargeAnswersMayTakeHalfOfTheMemoryForAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := largeAnswerLimits(&config.Settings{MemoryMB: 144, Resources: config.Resources{LinkMbps: 10}})
	g.Expect(limits).To(gomega.Equal(transfer.Limits{Memory: 18 << 20, Link: 1.25e6}))
	g.Expect(largeAnswerLimits(&config.Settings{}).Link).To(gomega.BeZero(), "the link is not known")
}
