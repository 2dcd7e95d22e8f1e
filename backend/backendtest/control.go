package backendtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// controlCase is one row of the table: what the server does with a lessor's call
// on a new connection (number 1).
type controlCase struct {
	name string
	play script
	// want is the reply's Refused value, or failed.
	want string
}

const (
	failed   = "(failed)"
	accepted = ""
)

var goodReply = serverapi.LeaseReply{Boot: "boot", Stamp: 12, HighestTerm: "3.0", Generation: 2, RemainingMs: 900}

func controlCases() []controlCase {
	refused := goodReply
	refused.Refused = serverapi.RefusedBoot
	other := goodReply
	other.Refused = serverapi.RefusedServer
	noBoot := goodReply
	noBoot.Boot = ""
	return []controlCase{
		{"accepted", replyWith(http.StatusOK, goodReply), accepted},
		{"refused, boot mismatch", replyWith(http.StatusConflict, refused), serverapi.RefusedBoot},
		{"refused by another server", replyWith(http.StatusConflict, other), failed},
		{"409 without a refusal", replyWith(http.StatusConflict, goodReply), failed},
		{"200 with a refusal", replyWith(http.StatusOK, refused), failed},
		{"no boot", replyWith(http.StatusOK, noBoot), failed},
		{"500", replyWith(http.StatusInternalServerError, goodReply), failed},
		{"not JSON", replyText("<html>"), failed},
		{"JSON cut short", replyText(`{"boot":"b","sta`), failed},
		{"too long", replyText(`{"boot":"b","highestTerm":"` + strings.Repeat("1", 5<<20) + `"}`), failed},
		{"closed after the call", afterRequest(func(*rawConn, received) {}), failed},
		{"reset before any byte", func(c *rawConn) { c.reset() }, failed},
		{"silent", afterRequest(func(c *rawConn, _ received) { c.discardInput() }), failed},
		{"reply cut short", afterRequest(func(c *rawConn, _ received) {
			c.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
		}), failed},
	}
}

func replyWith(status int, reply serverapi.LeaseReply) script {
	body, _ := json.Marshal(reply)
	return replyLines(status, string(body))
}

func replyText(body string) script { return replyLines(http.StatusOK, body) }

// replyLines answers every call on the connection.
func replyLines(status int, body string) script {
	return func(c *rawConn) {
		for {
			if _, ok := c.read(); !ok {
				return
			}
			c.send("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		}
	}
}

// controlCall makes one of the two control calls.
type controlCall func(ctx context.Context, d backend.Driver, to backend.Target) (serverapi.LeaseReply, error)

// calls are the two control calls.
func calls() map[string]controlCall {
	return map[string]controlCall{
		"lease": func(ctx context.Context, d backend.Driver, to backend.Target) (serverapi.LeaseReply, error) {
			return d.Lease(ctx, to, serverapi.LeaseRequest{Term: "3.0", Lessor: "n@b"})
		},
		"acknowledge": func(ctx context.Context, d backend.Driver, to backend.Target) (serverapi.LeaseReply, error) {
			return d.Acknowledge(ctx, to, serverapi.AcknowledgeRequest{Term: "3.0"})
		},
	}
}

func describeControl(open Open) {
	for _, c := range controlCases() {
		table(c.name, calls(), func(t testing.TB, call controlCall) {
			g := gomega.NewWithT(t)
			_, target := startFaultServer(t, c.play)
			reply, err := call(t.Context(), open(t, shortTimeouts()), target)
			if c.want == failed {
				var failure *backend.ControlError
				g.Expect(errors.As(err, &failure)).To(gomega.BeTrue(), "%v", err)
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(reply.Refused).To(gomega.Equal(c.want))
		})
	}
	describeControlReconnect(open)
	it("connections of their own", open, runControlSeparate)
	it("not held up by requests", open, runControlBusy)
}

// describeControlReconnect checks that a call succeeds over a new connection when one
// that worked once fails or stalls.
func describeControlReconnect(open Open) {
	body, _ := json.Marshal(goodReply)
	once := func(end func(c *rawConn)) script {
		return firstThen(func(c *rawConn) {
			if _, ok := c.read(); !ok {
				return
			}
			c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if _, ok := c.read(); ok {
				end(c)
			}
		}, replyWith(http.StatusOK, goodReply))
	}
	ends := map[string]func(c *rawConn){
		"silent": (*rawConn).discardInput,
		"closed": func(*rawConn) {},
		"reset":  (*rawConn).reset,
		"broken": func(c *rawConn) { c.send("???\r\n\r\n") },
	}
	table("new connection in place of a failed one", ends, func(t testing.TB, end func(c *rawConn)) {
		g := gomega.NewWithT(t)
		_, target := startFaultServer(t, once(end))
		driver := open(t, shortTimeouts())
		for range 3 {
			for _, call := range calls() {
				_, err := call(t.Context(), driver, target)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
	})
}

// runControlSeparate checks that requests and control calls never share a connection.
func runControlSeparate(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	body, _ := json.Marshal(goodReply)
	server, target := startFaultServer(t, func(c *rawConn) {
		for {
			request, ok := c.read()
			if !ok {
				return
			}
			if strings.HasPrefix(request.path, serverapi.PathRequest) {
				c.answer(request, echoOf(request.id()))
				continue
			}
			c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	driver := open(t, longTimeouts())
	for range 4 {
		expectHealthy(t, driver, target)
		for _, call := range calls() {
			_, err := call(t.Context(), driver, target)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	}
	kinds := map[int]map[bool]bool{}
	for _, request := range server.seen() {
		if kinds[request.conn] == nil {
			kinds[request.conn] = map[bool]bool{}
		}
		kinds[request.conn][strings.HasPrefix(request.path, serverapi.PathRequest)] = true
	}
	for conn, kind := range kinds {
		g.Expect(kind).To(gomega.HaveLen(1), fmt.Sprintf("connection %d carried both", conn))
	}
}

// runControlBusy checks that control calls succeed while every connection for
// requests is in use.
func runControlBusy(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	body, _ := json.Marshal(goodReply)
	arrived := make(chan struct{})
	_, target := startFaultServer(t, afterRequest(func(c *rawConn, r received) {
		if strings.HasPrefix(r.path, serverapi.PathRequest) {
			close(arrived)
			c.discardInput()
			return
		}
		c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}))
	options := longTimeouts()
	options.Connections = 1
	driver := open(t, options)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer ginkgo.GinkgoRecover()
		doContext(t, ctx, driver, target, newRequest(http.MethodGet, true))
	}()
	<-arrived
	for _, call := range calls() {
		_, err := call(t.Context(), driver, target)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	cancel()
	<-ended
}
