package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// eventuallyTimeout is a timeout that only a hanging test reaches.
const eventuallyTimeout = 30 * time.Second

// networked is a server on a real address with one pooling client. The server is
// unkeyed, so that it needs no lease.
type networked struct {
	*Server
	g       *gomega.WithT
	address string
	client  *http.Transport
}

func newNetworked(t *testing.T, config Config) *networked {
	g := gomega.NewWithT(t)
	config.ID = "s1"
	s := New(config)
	address, err := s.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client := &http.Transport{}
	t.Cleanup(func() {
		s.Kill()
		client.CloseIdleConnections()
	})
	return &networked{Server: s, g: g, address: address, client: client}
}

// get sends one request and returns the status, or 0 without a complete answer.
func (n *networked) get(ctx context.Context, client *http.Transport) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address+recordsPrefix+"k", strings.NewReader("x"))
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	request.GetBody = nil
	request.Header.Set(serverapi.HeaderRequestID, "r")
	response, err := client.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := ReadAnswer(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func TestStalledConnectionsNeverAnswerAndNewOnesDo(t *testing.T) {
	for _, direction := range []Direction{DirectionIn, DirectionOut, DirectionBoth} {
		t.Run(string(direction), func(t *testing.T) {
			n := newNetworked(t, Config{})
			n.g.Expect(n.get(t.Context(), n.client)).To(gomega.Equal(http.StatusOK))
			n.StallConnections(direction)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			n.g.Expect(n.get(ctx, n.client)).To(gomega.BeZero())
			fresh := &http.Transport{DisableKeepAlives: true}
			n.g.Expect(n.get(t.Context(), fresh)).To(gomega.Equal(http.StatusOK))
			ran := uint64(2)
			if direction == DirectionOut {
				ran = 3 // it ran, and its answer was lost
			}
			n.g.Expect(n.Stats().Ran).To(gomega.Equal(ran))
		})
	}
}

func TestConnectionsBeyondTheLimitAreClosedAndCounted(t *testing.T) {
	n := newNetworked(t, Config{Connections: 2})
	for range 2 {
		conn, err := net.Dial("tcp", n.address)
		n.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }()
	}
	n.g.Eventually(func() int { return n.Stats().Connections }, eventuallyTimeout).Should(gomega.Equal(2))
	third, err := net.Dial("tcp", n.address)
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = third.Close() }()
	_, err = third.Read(make([]byte, 1))
	n.g.Expect(err).To(gomega.HaveOccurred())
	stats := n.Stats()
	n.g.Expect(stats.RefusedConnections).To(gomega.Equal(uint64(1)))
	n.g.Expect(stats.PeakConnections).To(gomega.Equal(2))
}

func TestFrozenServerResumesPendingRequests(t *testing.T) {
	n := newNetworked(t, Config{})
	n.g.Expect(n.get(t.Context(), n.client)).To(gomega.Equal(http.StatusOK))
	n.Freeze()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	n.g.Expect(n.get(ctx, n.client)).To(gomega.BeZero())
	later := make(chan int, 1)
	go func() { later <- n.get(t.Context(), &http.Transport{DisableKeepAlives: true}) }()
	n.g.Consistently(later, "50ms").ShouldNot(gomega.Receive())
	n.Unfreeze()
	n.g.Eventually(later, eventuallyTimeout).Should(gomega.Receive(gomega.Equal(http.StatusOK)))
}

func TestStopWaitsForRequestsInFlight(t *testing.T) {
	n := newNetworked(t, Config{ServiceTime: ServiceTime{Mean: 200 * time.Millisecond}})
	answer := make(chan int, 1)
	go func() { answer <- n.get(t.Context(), n.client) }()
	n.g.Eventually(func() int { return n.Stats().InFlight }, eventuallyTimeout).Should(gomega.Equal(1))
	n.g.Expect(n.Stop(t.Context())).To(gomega.Succeed())
	n.g.Expect(<-answer).To(gomega.Equal(http.StatusOK))
	_, err := net.Dial("tcp", n.address)
	n.g.Expect(err).To(gomega.HaveOccurred())
}

func TestKillAbortsRequestsInFlight(t *testing.T) {
	recorded := &history.Memory{}
	n := newNetworked(t, Config{ServiceTime: ServiceTime{Mean: time.Hour}, Recorder: recorded})
	answer := make(chan int, 1)
	go func() { answer <- n.get(t.Context(), n.client) }()
	n.g.Eventually(func() int { return n.Stats().InFlight }, eventuallyTimeout).Should(gomega.Equal(1))
	n.Kill()
	n.g.Expect(<-answer).To(gomega.BeZero())
	n.g.Eventually(func() int { return n.Stats().InFlight }, eventuallyTimeout).Should(gomega.BeZero())
	for _, ended := range history.Select[history.RunEnded](recorded.Events()) {
		n.g.Expect(ended.Committed).To(gomega.BeFalse())
	}
}

func TestAdministrationWorksWhileFrozen(t *testing.T) {
	recorded := &history.Memory{}
	n := newNetworked(t, Config{Recorder: recorded, Concurrency: 3})
	admin := httptest.NewServer(n.AdminHandler(recorded))
	t.Cleanup(admin.Close)
	post := func(path, body string) int {
		response, err := http.Post(admin.URL+path, "application/json", strings.NewReader(body))
		n.g.Expect(err).NotTo(gomega.HaveOccurred())
		n.g.Expect(response.Body.Close()).To(gomega.Succeed())
		return response.StatusCode
	}
	stats := func() Stats {
		response, err := http.Get(admin.URL + AdminStats)
		n.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		var read Stats
		n.g.Expect(json.NewDecoder(response.Body).Decode(&read)).To(gomega.Succeed())
		return read
	}
	n.g.Expect(post(AdminFreeze, "")).To(gomega.Equal(http.StatusNoContent))
	n.g.Expect(stats().Frozen).To(gomega.BeTrue())
	n.g.Expect(post(AdminUnfreeze, "")).To(gomega.Equal(http.StatusNoContent))
	n.g.Expect(stats().Frozen).To(gomega.BeFalse())
	n.g.Expect(post(AdminDrain, "")).To(gomega.Equal(http.StatusNoContent))
	n.g.Expect(stats().Draining).To(gomega.BeTrue())
	boot := stats().Boot
	n.g.Expect(post(AdminRestart, "")).To(gomega.Equal(http.StatusNoContent))
	n.g.Expect(stats().Boot).NotTo(gomega.Equal(boot))
	n.g.Expect(post(AdminStall+"?direction=sideways", "")).To(gomega.Equal(http.StatusBadRequest))
	n.g.Expect(post(AdminStall+"?direction=both", "")).To(gomega.Equal(http.StatusNoContent))
	n.g.Expect(post(AdminFaults, `{"sheds": 1}`)).To(gomega.Equal(http.StatusBadRequest))
	n.g.Expect(post(AdminFaults, `{"shedRatio": 1}`)).To(gomega.Equal(http.StatusNoContent))
	n.g.Expect(n.get(t.Context(), n.client)).To(gomega.BeZero())
	n.g.Expect(stats().Shed).To(gomega.Equal(uint64(1)))

	response, err := http.Get(admin.URL + AdminHistory)
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	events, err := history.Decode(response.Body)
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	n.g.Expect(history.Select[history.ServerStopped](events)).To(gomega.HaveLen(1))
}
