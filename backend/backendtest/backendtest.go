// Package backendtest is the contract that every backend.Driver must meet, as
// tests against a raw TCP server that misbehaves in ways no HTTP library would.
// A driver's own test calls Run.
package backendtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Options of the driver that a test wants.
type Options struct {
	// SilentAfter without progress a connection is given up.
	SilentAfter time.Duration
	// ControlSilentAfter is the same for a lessor's calls on a connection that
	// was used before.
	ControlSilentAfter time.Duration
	// Connections for requests to one server.
	Connections int
	// ConnectTimeout bounds the wait for a connection.
	ConnectTimeout time.Duration
}

// Open returns a new driver. It closes the driver when the test ends.
type Open func(t testing.TB, options Options) backend.Driver

const (
	// never is a limit that no healthy case reaches, however slow the machine.
	never = time.Minute
	// soon is a limit in cases that wait for it to pass.
	soon = 150 * time.Millisecond
	// eventually bounds waits for what needs no exact time.
	eventually = 30 * time.Second
)

// patient returns options under which nothing is ever found silent.
func patient() Options {
	return Options{SilentAfter: never, ControlSilentAfter: never, Connections: 8, ConnectTimeout: never}
}

// hasty returns options under which silence is found soon.
func hasty() Options {
	return Options{SilentAfter: soon, ControlSilentAfter: soon, Connections: 8, ConnectTimeout: never}
}

// Run checks a driver.
func Run(t *testing.T, open Open) {
	t.Run("attempts under faults", func(t *testing.T) { runAttempts(t, open) })
	t.Run("requests are never resent", func(t *testing.T) { runResends(t, open) })
	t.Run("answers are never mixed", func(t *testing.T) { runMixing(t, open) })
	t.Run("bodies stream", func(t *testing.T) { runStreams(t, open) })
	t.Run("headers", func(t *testing.T) { runHeaders(t, open) })
	t.Run("connections stay within the share", func(t *testing.T) { runShare(t, open) })
	t.Run("control calls", func(t *testing.T) { runControl(t, open) })
}

var requestCounter atomic.Int64

// newRequest returns a request with an ID of its own.
func newRequest(method string, idempotent bool) backend.Request {
	return backend.Request{
		Method:        method,
		Path:          "/records/k",
		Service:       "licensing",
		Key:           "k",
		Shard:         topo.ShardID{Service: "licensing", Index: 4},
		Fence:         topo.MakeFence(7, 1),
		RequestID:     fmt.Sprintf("request-%d", requestCounter.Add(1)),
		Idempotent:    idempotent,
		ContentLength: 0,
	}
}

// result is what became of an attempt: exactly one of failure and response is
// set.
type result struct {
	response *backend.Response
	failure  *backend.AttemptError
	body     string
	bodyErr  error
}

// do makes an attempt and reads the whole answer.
func do(t testing.TB, driver backend.Driver, to backend.Target, req backend.Request) result {
	t.Helper()
	return doContext(t, t.Context(), driver, to, req)
}

func doContext(t testing.TB, ctx context.Context, driver backend.Driver, to backend.Target, req backend.Request) result {
	t.Helper()
	response, err := driver.Do(ctx, to, req)
	if err != nil {
		var failure *backend.AttemptError
		if !asAttempt(err, &failure) {
			t.Errorf("Do returned %T: %v", err, err)
		}
		return result{failure: failure}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return result{response: response, body: string(body), bodyErr: err}
}

// expectHealthy makes sure that the driver gets the right answer from a server
// that behaves again.
func expectHealthy(t testing.TB, driver backend.Driver, to backend.Target) {
	t.Helper()
	g := gomega.NewWithT(t)
	for _, idempotent := range []bool{true, false} {
		req := newRequest(http.MethodGet, idempotent)
		got := do(t, driver, to, req)
		g.Expect(got.failure).To(gomega.BeNil())
		g.Expect(got.bodyErr).NotTo(gomega.HaveOccurred())
		g.Expect(got.body).To(gomega.Equal(echoOf(req.RequestID)))
	}
}
