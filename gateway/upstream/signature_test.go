package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a success that did not come from the server's program: its signature is missing.
func TestSuccessWithoutSignatureIsNoAnswer(t *testing.T) {
	headers := noticeHeaders
	headers.Signature = "Signature"
	for _, tc := range []struct {
		text    string
		isValid bool
	}{
		{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", false},
		{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature:\r\nContent-Length: 5\r\n\r\nwhole", false},
		{"HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n", false},
		{"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"HTTP/1.1 404 Not Found\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", true},
	} {
		t.Run(strings.ReplaceAll(tc.text, "\r\n", " "), func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := serveRaw(t, func(conn *net.TCPConn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, tc.text)
				}
			})
			_, err := NewClient(headers, "a").Send(t.Context(), server, upload(0))
			g.Expect(err == nil).To(gomega.Equal(tc.isValid), "%v", err)
			if err != nil {
				var attempt *AttemptError
				g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
				g.Expect(attempt.Sent).To(gomega.BeTrue(), "it may have run")
			}
		})
	}
}
