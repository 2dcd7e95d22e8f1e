package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/answertest"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// endlessAnswers are answers without end: how each begins, and what follows for ever.
var endlessAnswers = map[string]struct{ begin, next string }{
	"no line end":           {"", "x"},
	"a status line":         {"HTTP/1.1 200 ", "x"},
	"one line of a head":    {"HTTP/1.1 200 OK\r\nName: ", "x"},
	"lines of a head":       {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
	"a continued line":      {"HTTP/1.1 200 OK\r\nName: ", "value\r\n "},
	"informational answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"their heads":           {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"},
	"empty lines":           {"", "\r\n"},
	"a body":                {"HTTP/1.1 200 OK\r\nRequest-Id: %\r\n\r\n", "x"},
	"chunks":                {"HTTP/1.1 200 OK\r\nRequest-Id: %\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"a chunk's extension":   {"HTTP/1.1 200 OK\r\nRequest-Id: %\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":              {"HTTP/1.1 200 OK\r\nRequest-Id: %\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
	"one trailer":           {"HTTP/1.1 200 OK\r\nRequest-Id: %\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", "x"},
}

const (
	// endlessTimeout is how long a caller would wait for an answer without end.
	endlessTimeout = 15 * time.Second
	// maxEndlessAlloc is the memory that such an answer may cost: a few times the longest body, since it grows
	// while it is read.
	maxEndlessAlloc = 8 * maxAnswerBytes
)

// Guards against a node that reads an answer without end until its memory is used up, or its caller's time: the
// connection is reset as soon as the answer is longer than one may be, and the request may have run.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	for kind, exchange := range exchanges {
		for name, answer := range endlessAnswers {
			t.Run(kind+", "+name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				server := site.Server{ID: "i", Address: answertest.ServeEndless(t, answer.begin, answer.next)}
				for _, c := range []*Client{NewClient(noticeHeaders, "a"), NewNodeClient(noticeHeaders, "a")} {
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
					err := exchange(ctx, c, server)
					g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it ends before the time of the caller: %v", err)
					cancel()
					runtime.ReadMemStats(&after)
					var attempt *AttemptError
					g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue(), "%v", err)
					g.Expect(attempt.Sent || kind == "control call").To(gomega.BeTrue(), "it may have run")
					g.Expect(after.TotalAlloc-before.TotalAlloc).To(gomega.BeNumerically("<", maxEndlessAlloc), "bytes allocated")
				}
			})
		}
	}
}

// Guards against a node whose memory is used up by many long answers at once, of which each is within the limit.
func TestAnswersThatANodeHoldsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit, size = 1 << 20, 300 << 10
	memory := NewAnswerMemory(limit)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = w.Write(make([]byte, size))
	}))
	defer server.Close()
	target := site.Server{ID: "i", Address: strings.TrimPrefix(server.URL, "http://")}
	clients := []*Client{NewClient(noticeHeaders, "a"), NewNodeClient(noticeHeaders, "a")}
	for _, c := range clients {
		c.SetAnswerMemory(memory)
	}
	var held []*Held
	send := func(c *Client) error {
		h := c.Hold()
		held = append(held, h)
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Header: http.Header{"Request-Id": {"1"}}, Remaining: time.Minute, Held: h}
		_, err := c.Send(t.Context(), target, request)
		return err
	}
	for range limit / size {
		g.Expect(send(clients[len(held)%2])).To(gomega.Succeed())
	}
	var memoryErr *AnswerMemoryError
	g.Expect(errors.As(send(clients[0]), &memoryErr)).To(gomega.BeTrue(), "the clients share the limit")
	for _, h := range held {
		h.Release()
	}
	g.Expect(memory.held.Load()).To(gomega.BeZero())
	g.Expect(held[0].add(size)).To(gomega.Succeed(), "a late answer to a request that has ended")
	g.Expect(memory.held.Load()).To(gomega.BeZero())
	for range 3 {
		g.Expect(exchanges["request"](t.Context(), clients[0], target)).To(gomega.Succeed())
		g.Expect(exchanges["health check"](t.Context(), clients[0], target)).To(gomega.Succeed())
	}
	g.Expect(memory.held.Load()).To(gomega.BeZero(), "nothing is held after an answer of the node's own calls")
}
