package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A server at its connection limit resets a new connection as it accepts it, before the
// request has reached it. In this test, the reset has arrived by the time dial returns, so
// that the result does not depend on the speed of the machine.
func TestRequestIsNotSentOnAConnectionThatIsResetAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	client := NewClient(Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}, "a")
	dial := client.dial
	client.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		accepted, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		reset(accepted)
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request := &Request{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, ID: "1", Remaining: time.Second}
	for range 20 {
		_, err = client.Send(ctx, site.Server{ID: "s", Address: listener.Addr().String()}, request)
		var attempt *AttemptError
		g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
		g.Expect(attempt.Sent).To(gomega.BeFalse())
		g.Expect(attempt.Rejected).To(gomega.BeTrue())
	}
}

// A call that is canceled while its connection is opened is not sent: a grant that arrives
// late would be in force for longer than its lessor accounts for.
func TestCanceledCallIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	client := NewClient(Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}, "a")
	ctx, cancel := context.WithCancel(context.Background())
	client.dial = func(context.Context, string, string) (net.Conn, error) {
		cancel()
		return local, nil
	}
	received := make(chan int, 1)
	go func() {
		n, _ := remote.Read(make([]byte, 1))
		received <- n
	}()
	_, err := client.Control(ctx, site.Server{ID: "s", Address: "s:1"}, ControlCall{Path: "/open"}, ControlCall{Path: "/x"})
	var attempt *AttemptError
	g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
	g.Expect(attempt.Sent).To(gomega.BeFalse())
	g.Expect(<-received).To(gomega.BeZero())
}
