// Package backendtest tests the contract that every backend.Driver must meet, as
// Ginkgo specs against a raw TCP server that injects faults which no HTTP library
// produces. A driver's own test calls Describe.
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

// Options configures the driver under test.
type Options struct {
	// StallTimeout is the time without progress after which the driver gives up a
	// connection.
	StallTimeout time.Duration
	// ControlStallTimeout is the StallTimeout of a lessor's calls on a reused
	// connection.
	ControlStallTimeout time.Duration
	// Connections is the quota of connections for requests to one server.
	Connections int
	// ConnectTimeout is the longest wait for a connection.
	ConnectTimeout time.Duration
}

// Open returns a new driver, which it closes when the test ends.
type Open func(t testing.TB, options Options) backend.Driver

const (
	// longTimeout is not reached by a healthy case, even on a slow machine.
	longTimeout = time.Minute
	// shortTimeout is for cases that wait until it expires.
	shortTimeout = 150 * time.Millisecond
	// eventually is the deadline of conditions without an exact time.
	eventually = 30 * time.Second
)

// longTimeouts returns options under which no connection is treated as stalled.
func longTimeouts() Options {
	return Options{StallTimeout: longTimeout, ControlStallTimeout: longTimeout, Connections: 8, ConnectTimeout: longTimeout}
}

// shortTimeouts returns options under which a stalled connection is detected
// quickly.
func shortTimeouts() Options {
	return Options{StallTimeout: shortTimeout, ControlStallTimeout: shortTimeout, Connections: 8, ConnectTimeout: longTimeout}
}

// Describe defines the specs of the whole contract for one driver.
func Describe(driver string, open Open) bool {
	return ginkgo.Describe(driver+" contract", func() {
		ginkgo.Describe("attempts under faults", func() { describeAttempts(open) })
		ginkgo.Describe("requests are never resent", func() { describeResends(open) })
		ginkgo.Describe("answers are never mixed", func() { describeMixing(open) })
		ginkgo.Describe("bodies stream", func() { describeStreams(open) })
		ginkgo.Describe("headers", func() { describeHeaders(open) })
		ginkgo.Describe("connections stay within the quota", func() { describeShare(open) })
		ginkgo.Describe("control calls", func() { describeControl(open) })
	})
}

// it defines one spec.
func it(text string, open Open, run func(t testing.TB, open Open)) {
	ginkgo.It(text, func() { run(ginkgo.GinkgoTB(), open) })
}

// table defines a spec for each row, sorted by the rows' names.
func table[Row any](text string, rows map[string]Row, run func(t testing.TB, row Row)) {
	entries := []any{func(row Row) { run(ginkgo.GinkgoTB(), row) }}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		entries = append(entries, ginkgo.Entry(name, rows[name]))
	}
	ginkgo.DescribeTable(text, entries...)
}

var requestCounter atomic.Int64

// newRequest returns a request with a unique ID.
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

// result is the outcome of an attempt: exactly one of failure and response is
// set.
type result struct {
	response *backend.Response
	failure  *backend.AttemptError
	body     string
	bodyErr  error
}

// do makes an attempt and reads the complete response.
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

// expectHealthy checks that the driver gets the correct response from a server
// without further faults.
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
