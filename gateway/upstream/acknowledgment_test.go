package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// respondOnce answers what comes first on a connection, and reads what follows.
func respondOnce(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 4096))
	_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
}

// A count of bytes that is not known passed for none: a grant that may have been under way
// counted as one that had arrived.
func TestBytesOfUnknownCountAreNotTreatedAsAcknowledged(t *testing.T) {
	g := gomega.NewWithT(t)
	local, remote := net.Pipe() // no socket
	defer func() { _ = remote.Close() }()
	go respondOnce(remote)
	client := NewClient(Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}, "a")
	client.dial = func(context.Context, string, string) (net.Conn, error) { return local, nil }
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := client.Control(ctx, site.Server{ID: "s", Address: "s:1"}, ControlCall{Path: "/open"}, ControlCall{Path: "/x"})
	var attempt *AttemptError
	g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
	g.Expect(attempt.Sent).To(gomega.BeTrue())
	g.Expect(attempt.AcknowledgedAt.IsZero()).To(gomega.BeTrue())
}

// Before a call is written nothing of it is unacknowledged. A process that was held up between
// two calls on a connection took that for the acknowledgement of the second one.
func TestNothingIsAcknowledgedBeforeItWasWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	var ack acknowledgment
	ack.reset()
	ack.check(conn)
	g.Expect(ack.acknowledgedAt().IsZero()).To(gomega.BeTrue(), "nothing was written")
	ack.markSent()
	ack.check(conn)
	g.Expect(ack.acknowledgedAt().IsZero()).To(gomega.BeFalse())
	ack.reset()
	ack.check(conn) // of the call before
	g.Expect(ack.acknowledgedAt().IsZero()).To(gomega.BeTrue())
}
