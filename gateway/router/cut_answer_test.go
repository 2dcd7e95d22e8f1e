package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/answertest"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// cutAnswers are whole answers to a request with the ID r1, by what frames them.
var cutAnswers = map[string]string{
	"length":                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: signed\r\nContent-Length: 6\r\n\r\nanswer",
	"empty":                 "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: signed\r\nContent-Length: 0\r\n\r\n",
	"chunks":                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: signed\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	"chunks with a trailer": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nSum: 1\r\n\r\n",
	"early hints":           "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 6\r\n\r\nanswer",
	"bare line feeds":       "HTTP/1.1 200 OK\nRequest-Id: r1\nContent-Length: 6\n\nanswer",
	"no content":            "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\nSignature: signed\r\n\r\n",
}

// readRaw sends a request to a node and returns the answer as far as its framing says that it is whole.
func readRaw(t *testing.T, node http.Handler, method string) (status int, body string, isWhole bool) {
	t.Helper()
	front := httptest.NewServer(node)
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%s /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTimeout: 2000\r\nContent-Length: 0\r\n\r\n", method)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err == nil
}

// Guards against callers that get a success with an empty or short body, framed as whole, because the server has ended
// its connection in the middle of an answer.
func TestAnswersThatAreCutShortAreNoSuccess(t *testing.T) {
	for name, text := range cutAnswers {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			for _, isForwarded := range []bool{false, true} {
				for _, resets := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, forwarded %t, reset %t", name, method, isForwarded, resets), func(t *testing.T) {
						t.Parallel()
						whole := len(text)
						if method == http.MethodHead { // its answer ends with the head
							whole = headLength(text)
						}
						for cut := 0; cut < whole; cut += cutStep(isForwarded || resets) {
							status, body, isWhole := answerCutAt(t, text[:cut], method, isForwarded, resets)
							if isWhole && status < http.StatusInternalServerError {
								t.Errorf("cut after %d bytes: status %d, body %q", cut, status, body)
							}
						}
					})
				}
			}
		}
	}
}

// headLength returns the length of an answer up to the end of its final head.
func headLength(text string) int {
	final := strings.LastIndex(text, "HTTP/1.1")
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if at := strings.Index(text[final:], end); at >= 0 {
			return final + at + len(end)
		}
	}
	return len(text)
}

func cutStep(isCoarse bool) int {
	if isCoarse {
		return 7
	}
	return 1
}

// answerCutAt returns what a caller gets of a server that answers with a text and then ends its connection.
func answerCutAt(t *testing.T, text, method string, isForwarded, resets bool) (status int, body string, isWhole bool) {
	t.Helper()
	s := newForwardingSite(t, site.AtMostOnce, 1, answertest.CutShort(text, resets), nil)
	node := s.others[0]
	if isForwarded {
		node = s.origin
	}
	return readRaw(t, node, method)
}

// The whole answers are delivered.
func TestAnswersThatAreNotCutShortAreDelivered(t *testing.T) {
	for name, text := range cutAnswers {
		for _, isForwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %t", name, isForwarded), func(t *testing.T) {
				g := gomega.NewWithT(t)
				status, body, isWhole := answerCutAt(t, text, http.MethodPost, isForwarded, false)
				g.Expect(isWhole).To(gomega.BeTrue())
				g.Expect(status).To(gomega.BeNumerically("<", 300))
				if strings.Contains(text, "answer") {
					g.Expect(body).To(gomega.Equal("answer"))
				}
			})
		}
	}
}
