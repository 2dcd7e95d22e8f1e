package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
)

// resetRaw closes a connection with a reset.
func resetRaw(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func upload(length int) *Request {
	return &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Header: http.Header{"Request-Id": {"1"}}, Remaining: time.Minute, Body: bodies.Of(make([]byte, length))}
}

// Guards against a part of an answer that passes for the whole, because the reset of its connection was reported to the
// goroutine that still wrote the request.
func TestAnswerWithoutLengthIsNotCompleteAfterReset(t *testing.T) {
	for _, length := range []int{8 << 20, 1 << 20, 200 << 10} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, pause of %v", length, pause), func(t *testing.T) {
				server := serveRaw(t, func(conn *net.TCPConn) {
					_, _ = io.ReadFull(conn, make([]byte, 1000))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\na part of the answer")
					time.Sleep(pause)
					resetRaw(conn)
				})
				complete := 0
				for range 20 {
					c := NewClient(noticeHeaders, "a")
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					if _, err := c.Send(ctx, server, upload(length)); err == nil {
						complete++
					}
					cancel()
				}
				gomega.NewWithT(t).Expect(complete).To(gomega.BeZero(), "of 20 answers passed for complete ones")
			})
		}
	}
}

// An answer without a length that ends without a reset is complete, also if its server reads the rest of the request after it.
func TestAnswerWithoutLengthIsCompleteAtItsEnd(t *testing.T) {
	for _, early := range []bool{false, true} {
		g := gomega.NewWithT(t)
		const length = 1 << 20
		server := serveRaw(t, func(conn *net.TCPConn) {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if !early {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nanswer")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		answer, err := NewClient(noticeHeaders, "a").Send(ctx, server, upload(length))
		cancel()
		g.Expect(err).NotTo(gomega.HaveOccurred(), "early: %t", early)
		g.Expect(string(answer.Body)).To(gomega.Equal("answer"))
	}
}
