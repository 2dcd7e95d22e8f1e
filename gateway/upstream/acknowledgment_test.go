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

// respondOnce answers the first request on a connection and discards all later bytes.
func respondOnce(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 4096))
	_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
}

// An unknown count of unacknowledged bytes was treated as 0, so that a grant that may have
// been in flight was treated as one that had arrived.
func TestBytesOfUnknownCountAreNotTreatedAsAcknowledged(t *testing.T) {
	g := gomega.NewWithT(t)
	local, remote := net.Pipe() // not a socket
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

// Before a call is written, none of its bytes are unacknowledged. A process that was stalled
// between two calls on a connection treated that as the acknowledgment of the second call.
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
	g.Expect(ack.acknowledgedAt().IsZero()).To(gomega.BeTrue(), "nothing has been written")
	ack.markSent()
	ack.check(conn)
	g.Expect(ack.acknowledgedAt().IsZero()).To(gomega.BeFalse())
	ack.reset()
	ack.check(conn) // still acknowledged for the previous call
	g.Expect(ack.acknowledgedAt().IsZero()).To(gomega.BeTrue())
}
