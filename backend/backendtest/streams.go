package backendtest

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// describeStreams checks that bodies are streamed, and that only pauses of the
// server are treated as a stalled connection.
func describeStreams(open Open) {
	it("request body arrives in parts", open, runUpload)
	it("answer body arrives in parts", open, runDownload)
	it("answer before the body is sent", open, runEarlyAnswer)
	it("slow caller is not an unresponsive server", open, runSlowCaller)
	it("slow reader is not an unresponsive server", open, runSlowReader)
	it("caller's body fails", open, runBrokenUpload)
}

func runUpload(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	firstPart := make(chan struct{})
	_, target := startFaultServer(t, func(c *rawConn) {
		request, body, ok := c.readHead()
		if !ok {
			return
		}
		part := make([]byte, 5)
		_, _ = io.ReadFull(body, part)
		close(firstPart)
		rest, _ := io.ReadAll(body)
		c.answer(request, string(part)+string(rest))
		c.discardInput()
	})
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("first"))
		<-firstPart // send the rest only after the first part arrived
		_, _ = writer.Write([]byte(" rest"))
		_ = writer.Close()
	}()
	req := newRequest(http.MethodPost, false)
	req.Body, req.ContentLength = reader, -1
	got := do(t, open(t, longTimeouts()), target, req)
	g.Expect(got.body).To(gomega.Equal("first rest"))
}

func runDownload(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	goOn := make(chan struct{})
	_, target := startFaultServer(t, afterRequest(func(c *rawConn, r received) {
		c.send("%sfirst", headText(r.id(), "Content-Length: 10"))
		<-goOn
		c.send(" rest")
		c.discardInput()
	}))
	response, err := open(t, longTimeouts()).Do(t.Context(), target, newRequest(http.MethodGet, true))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	part := make([]byte, 5)
	_, err = io.ReadFull(response.Body, part)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(part)).To(gomega.Equal("first"))
	close(goOn)
	rest, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(rest)).To(gomega.Equal(" rest"))
}

// runEarlyAnswer covers a server that refuses without reading the body.
func runEarlyAnswer(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	_, target := startFaultServer(t, func(c *rawConn) {
		if request, _, ok := c.readHead(); ok {
			c.answer(request, "no need")
			c.discardInput()
		}
	})
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	req := newRequest(http.MethodPost, false)
	req.Body, req.ContentLength = reader, -1
	got := do(t, open(t, longTimeouts()), target, req)
	g.Expect(got.failure).To(gomega.BeNil())
	g.Expect(got.body).To(gomega.Equal("no need"))
}

func runSlowCaller(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	_, target := startFaultServer(t, echoAll)
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("first"))
		time.Sleep(3 * shortTimeout)
		_ = writer.Close()
	}()
	options := longTimeouts()
	options.StallTimeout = 2 * shortTimeout
	req := newRequest(http.MethodPost, false)
	req.Body, req.ContentLength = reader, -1
	got := do(t, open(t, options), target, req)
	g.Expect(got.failure).To(gomega.BeNil())
	g.Expect(got.body).To(gomega.Equal(echoOf(req.RequestID)))
}

// slowReaderStall is after what time without progress a server counts as unresponsive: longer than it takes to begin a
// large answer, also on a slow machine. slowReaderPause, for which the reader does not read, exceeds it.
const (
	slowReaderStall = 2 * time.Second
	slowReaderPause = 3 * time.Second
)

func runSlowReader(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	const size = 8 << 20 // exceeds the buffers between client and server
	_, target := startFaultServer(t, afterRequest(func(c *rawConn, r received) {
		c.answer(r, strings.Repeat("x", size))
		c.discardInput()
	}))
	options := longTimeouts()
	options.StallTimeout = slowReaderStall
	response, err := open(t, options).Do(t.Context(), target, newRequest(http.MethodGet, true))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	time.Sleep(slowReaderPause)
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.HaveLen(size))
}

// runBrokenUpload checks that a body that its caller aborts never arrives as a
// complete request.
func runBrokenUpload(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, echoAll)
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("first"))
		_ = writer.CloseWithError(&brokenUpload{})
	}()
	req := newRequest(http.MethodPost, false)
	req.Body, req.ContentLength = reader, -1
	got := do(t, open(t, longTimeouts()), target, req)
	g.Expect(got.failure).NotTo(gomega.BeNil())
	g.Expect(got.failure.Sent).To(gomega.BeTrue())
	var cause *brokenUpload
	g.Expect(errors.As(got.failure, &cause)).To(gomega.BeTrue())
	g.Eventually(server.openConns, eventually).Should(gomega.BeZero())
	g.Expect(server.countOf(req.RequestID)).To(gomega.BeZero())
}

// brokenUpload is the read error of a caller's body.
type brokenUpload struct{}

// Error implements error.
func (*brokenUpload) Error() string { return "caller aborted the body" }
