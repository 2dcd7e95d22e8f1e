package serverhttp

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/topo"
)

var (
	testShard = topo.ShardID{Service: "licensing", Index: 1}
	testFence = topo.MakeFence(9, 0)
)

// startServer starts a stand-in server that owns testShard for a minute.
func startServer(t *testing.T, driver *Driver, config server.Config) (*server.Server, backend.Target) {
	t.Helper()
	g := gomega.NewWithT(t)
	config.ID, config.Service, config.Keyed, config.ChecksFencing = "s1", "licensing", true, true
	s := server.New(config)
	address, err := s.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Kill)
	target := backend.Target{ID: "s1", Address: address}
	grant(t, driver, target)
	return s, target
}

func grant(t *testing.T, driver *Driver, target backend.Target) {
	t.Helper()
	g := gomega.NewWithT(t)
	req := serverapi.LeaseRequest{Term: "3.0", Group: "zone/0", Lessor: "n@b"}
	reply, err := driver.Lease(t.Context(), target, req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Boot, req.Echo, req.TTLMs = reply.Boot, reply.Stamp, time.Minute.Milliseconds()
	req.Generation, req.Full = 1, true
	req.Grants = []serverapi.Grant{{Shard: testShard.String(), Fence: testFence.String()}}
	reply, err = driver.Lease(t.Context(), target, req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.Refused).To(gomega.BeEmpty())
}

var requests int

func testRequest(method, path, body string) backend.Request {
	requests++
	req := backend.Request{
		Method: method, Path: path, Service: "licensing", Key: "bore 7", Shard: testShard, Fence: testFence,
		RequestID: "r" + strconv.Itoa(requests),
		Header:    http.Header{history.HeaderCallerRequest: {"c" + strconv.Itoa(requests)}},
	}
	if body != "" {
		req.Body, req.ContentLength = strings.NewReader(body), int64(len(body))
	}
	return req
}

func TestDriverWorksWithStandInServer(t *testing.T) {
	g := gomega.NewWithT(t)
	driver := NewDriver(Options{Share: func(backend.Target) int { return 4 }}, nil)
	t.Cleanup(driver.Close)
	s, target := startServer(t, driver, server.Config{Concurrency: 4})
	for want := range 3 {
		req := testRequest(http.MethodPost, "/records/bore%207/transfers?size=100000", "to=clerk")
		response, err := driver.Do(t.Context(), target, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Outcome).To(gomega.Equal(serverapi.OutcomeAnswered))
		answer, err := server.ReadAnswer(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		g.Expect(answer.Value).To(gomega.Equal(uint64(want + 1)))
		g.Expect(answer.RequestID).To(gomega.Equal(req.RequestID))
		g.Expect(answer.BodyDigest).To(gomega.Equal(server.DigestOf([]byte("to=clerk"))))
	}
	stale := testRequest(http.MethodGet, "/records/bore%207", "")
	stale.Fence = topo.MakeFence(8, 0)
	response, err := driver.Do(t.Context(), target, stale)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Body.Close()).To(gomega.Succeed())
	g.Expect(response.Status).To(gomega.Equal(http.StatusMisdirectedRequest))
	g.Expect(response.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
	g.Expect(response.Reason).To(gomega.Equal(serverapi.ReasonNotOwner))
	g.Expect(s.Stats().Committed).To(gomega.Equal(uint64(3)))
}

func TestCancellationReachesTheServer(t *testing.T) {
	g := gomega.NewWithT(t)
	driver := NewDriver(Options{Share: func(backend.Target) int { return 4 }}, nil)
	t.Cleanup(driver.Close)
	s, target := startServer(t, driver, server.Config{ServiceTime: server.ServiceTime{Mean: time.Hour}})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		response, err := driver.Do(ctx, target, testRequest(http.MethodGet, "/records/bore%207", ""))
		if err == nil {
			_ = response.Body.Close()
		}
		failed <- err
	}()
	g.Eventually(func() int { return s.Stats().InFlight }, "10s").Should(gomega.Equal(1))
	cancel()
	var attempt *backend.AttemptError
	g.Expect(<-failed).To(gomega.BeAssignableToTypeOf(attempt))
	g.Eventually(func() int { return s.Stats().InFlight }, "10s").Should(gomega.Equal(0))
}

// TestStalledConnectionsAreReplaced stalls every open connection, in each
// direction: the lessor's next call is answered over a new connection, the
// pooled request fails as stalled, and the next request is answered.
func TestStalledConnectionsAreReplaced(t *testing.T) {
	for _, direction := range []server.Direction{server.DirectionIn, server.DirectionOut, server.DirectionBoth} {
		t.Run(string(direction), func(t *testing.T) {
			g := gomega.NewWithT(t)
			driver := NewDriver(Options{
				StallTimeout: 200 * time.Millisecond, ControlStallTimeout: 100 * time.Millisecond,
				ExpectProgress: true, Share: func(backend.Target) int { return 4 },
			}, nil)
			t.Cleanup(driver.Close)
			s, target := startServer(t, driver, server.Config{})
			get := func() error {
				req := testRequest(http.MethodGet, "/records/bore%207", "")
				req.Idempotent = true
				response, err := driver.Do(t.Context(), target, req)
				if err == nil {
					_, err = server.ReadAnswer(response.Body)
					_ = response.Body.Close()
				}
				return err
			}
			g.Expect(get()).To(gomega.Succeed())
			s.StallConnections(direction)
			_, err := driver.Lease(t.Context(), target, serverapi.LeaseRequest{Term: "3.0", Lessor: "n@b"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var failure *backend.AttemptError
			g.Expect(errors.As(get(), &failure)).To(gomega.BeTrue())
			g.Expect(failure.Unresponsive).To(gomega.BeTrue())
			g.Expect(get()).To(gomega.Succeed())
		})
	}
}

// TestSlowRequestWithProgressIsNotStalled: the stand-in server reports progress
// during a request that runs longer than the driver's stall timeout.
func TestSlowRequestWithProgressIsNotStalled(t *testing.T) {
	g := gomega.NewWithT(t)
	driver := NewDriver(Options{StallTimeout: time.Second, ExpectProgress: true, Share: func(backend.Target) int { return 4 }}, nil)
	t.Cleanup(driver.Close)
	_, target := startServer(t, driver, server.Config{ServiceTime: server.ServiceTime{Mean: 1500 * time.Millisecond}})
	response, err := driver.Do(t.Context(), target, testRequest(http.MethodPost, "/records/bore%207", "x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	_, err = server.ReadAnswer(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// TestWithoutProgressOnlyDeadlinesEndSlowRequests: connections to servers that
// cannot report progress must not be treated as stalled.
func TestWithoutProgressOnlyDeadlinesEndSlowRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	driver := NewDriver(Options{StallTimeout: 50 * time.Millisecond, Share: func(backend.Target) int { return 4 }}, nil)
	t.Cleanup(driver.Close)
	s, target := startServer(t, driver, server.Config{ServiceTime: server.ServiceTime{Mean: 300 * time.Millisecond}})
	response, err := driver.Do(t.Context(), target, testRequest(http.MethodGet, "/records/bore%207", ""))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = server.ReadAnswer(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Body.Close()).To(gomega.Succeed())

	s.Freeze()
	req := testRequest(http.MethodGet, "/records/bore%207", "")
	req.Deadline = time.Now().Add(200 * time.Millisecond)
	_, err = driver.Do(t.Context(), target, req)
	var failure *backend.AttemptError
	g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
	g.Expect(failure.Unresponsive).To(gomega.BeFalse())
	g.Expect(failure.Sent).To(gomega.BeTrue())
}
