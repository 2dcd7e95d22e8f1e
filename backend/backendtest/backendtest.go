// Package backendtest is the contract that every backend.Driver must meet, as
// Ginkgo specs against a raw TCP server that misbehaves in ways no HTTP library
// would. A driver's own test calls Describe.
package backendtest

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
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

// Describe defines the specs of the whole contract for one driver.
func Describe(driver string, open Open) bool {
	return ginkgo.Describe(driver+" contract", func() {
		ginkgo.Describe("attempts under faults", func() { describeAttempts(open) })
		ginkgo.Describe("requests are never resent", func() { describeResends(open) })
		ginkgo.Describe("answers are never mixed", func() { describeMixing(open) })
		ginkgo.Describe("bodies stream", func() { describeStreams(open) })
		ginkgo.Describe("headers", func() { describeHeaders(open) })
		ginkgo.Describe("connections stay within the share", func() { describeShare(open) })
		ginkgo.Describe("control calls", func() { describeControl(open) })
	})
}

// it defines one spec.
func it(text string, open Open, run func(t testing.TB, open Open)) {
	ginkgo.It(text, func() { run(ginkgo.GinkgoTB(), open) })
}

// table defines a spec for each row, in order of the rows' names.
func table[Row any](text string, rows map[string]Row, run func(t testing.TB, row Row)) {
	entries := []any{func(row Row) { run(ginkgo.GinkgoTB(), row) }}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		entries = append(entries, ginkgo.Entry(name, rows[name]))
	}
	ginkgo.DescribeTable(text, entries...)
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
