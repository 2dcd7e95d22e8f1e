package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// invalidAnswers are bytes that are no answer in HTTP, or of which it is uncertain what the answer is.
var invalidAnswers = map[string]string{
	"status 000":                           "HTTP/1.1 000 Trouble\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"status 000 before an answer":          "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"status 099 before an answer":          "HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"status with a sign":                   "HTTP/1.1 +20 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"status with a sign before an answer":  "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"status beyond the classes":            "HTTP/1.1 600 Trouble\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"status 101 that nobody asked for":     "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"version 1.0 with an encoding":         "HTTP/1.0 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfalse\r\n0\r\n\r\n",
	"another protocol version":             "HTTP/2.0 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"length with a blank before the colon": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length : 5\r\n\r\nfalse and more",
	"chunks with a blank before the colon": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nfalse\r\n0\r\n\r\n",
	"name with a blank":                    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nOdd Name: x\r\nContent-Length: 5\r\n\r\nfalse",
	"name with a control byte":             "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nOdd\x01Name: x\r\nContent-Length: 5\r\n\r\nfalse",
	"empty name":                           "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n: x\r\nContent-Length: 5\r\n\r\nfalse",
	"value with a zero byte":               "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nOdd: \x00\r\nContent-Length: 5\r\n\r\nfalse",
	"value with a carriage return":         "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nOdd: a\rb\r\nContent-Length: 5\r\n\r\nfalse",
	"informational head with a blank":      "HTTP/1.1 103 Early Hints\r\nContent-Length : 5\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nfalse",
	"trailer with a blank":                 "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfalse\r\n0\r\nOdd Name: x\r\n\r\n",
	"two lengths":                          "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nfalse",
	"length with a sign":                   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: +5\r\n\r\nfalse",
}

// Guards against answers of servers in trouble that pass for answers, with another status or body than the server meant.
func TestInvalidAnswersAreNoAnswers(t *testing.T) {
	for kind, exchange := range exchanges {
		for name, text := range invalidAnswers {
			t.Run(kind+", "+name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				server := serveRaw(t, func(conn *net.TCPConn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, text)
					}
					_ = conn.CloseWrite()
				})
				for _, c := range []*Client{NewClient(noticeHeaders, "a"), NewNodeClient(noticeHeaders, "a")} {
					err := exchange(t.Context(), c, server)
					var attempt *AttemptError
					g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue(), "%v", err)
					g.Expect(c.idle.has(requestKey(server))).To(gomega.BeFalse(), "the connection is not used again")
				}
			})
		}
	}
}
