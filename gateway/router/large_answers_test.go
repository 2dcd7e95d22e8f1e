package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/transfer"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// newDownloadNode returns a node with a route for large answers, whose two servers have the given handlers.
func newDownloadNode(t *testing.T, limits transfer.Limits, servers ...http.HandlerFunc) *Router {
	t.Helper()
	registered := map[site.ServerID]site.Server{}
	for i, handler := range servers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		id := site.ServerID(rune('a' + i))
		registered[id] = site.Server{ID: id, Service: "s", Address: server.Listener.Addr().String(), Zone: "a", Slots: 4}
	}
	state := view.NewState()
	state.SetMembers([]view.Member{{Node: "n"}})
	state.MergeConfig(&site.Config{
		Version:  1,
		Services: map[site.ServiceName]site.Service{"s": {Name: "s"}},
		Routes:   []site.Route{{Name: "r", Host: "h", Prefix: "/", Kind: site.Idempotent, LargeAnswers: true, Attempts: 2, Timeout: 10 * time.Second, Target: 200 * time.Millisecond, Targets: []site.Target{{Service: "s", Weight: 1}}}},
	})
	state.MergeServers(view.Servers{Offset: 1, Servers: registered})
	options := Options{Retries: budget.Terms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
	r := New("a", forwardHeaders, options, state, upstream.NewClient(forwardHeaders, "a"), follow.NewReports(), hclog.NewNullLogger())
	r.BoundLargeAnswers(limits)
	t.Cleanup(r.Close)
	return r
}

func download(r *Router) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
	return answer
}

// Guards against large answers beyond the bound, and against room that is not given back: requests must wait before they are
// sent, and all be answered.
func TestDownloadsBeyondTheBoundWaitAtTheNode(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, finish := make(chan struct{}, 3), make(chan struct{})
	r := newDownloadNode(t, transfer.Limits{Memory: 1}, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-finish
		_, _ = w.Write(make([]byte, 1000))
	})
	release := sync.OnceFunc(func() { close(finish) })
	t.Cleanup(release) // a server ends only when its handlers have
	codes := make(chan int, 3)
	for range 3 {
		go func() { codes <- download(r).Code }()
	}
	waiting := func() int {
		r.largeAnswers.mu.Lock()
		defer r.largeAnswers.mu.Unlock()
		return r.largeAnswers.bounds.Waiting()
	}
	g.Eventually(waiting).WithTimeout(5 * time.Second).Should(gomega.Equal(2))
	g.Eventually(arrived).WithTimeout(5 * time.Second).Should(gomega.Receive())
	g.Expect(arrived).To(gomega.BeEmpty(), "the others take no slot of the server")
	release()
	for range 3 {
		g.Eventually(codes).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.Equal(http.StatusOK)))
	}
	g.Expect(r.largeAnswers.bounds.Bytes()).To(gomega.BeZero())
}

// Guards against a download that is not hedged although it may run twice, and a hedge for which there is no room.
func TestDownloadIsHedgedIfThereIsRoom(t *testing.T) {
	for name, c := range map[string]struct {
		memory int64
		sends  int
	}{"room for two": {1 << 30, 2}, "room for one": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			r := newDownloadNode(t, transfer.Limits{Memory: c.memory}, hang, hang)
			request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
			x := &exchange{router: r, view: r.state.Now(), arrived: time.Now()}
			g.Expect(x.prepare(request)).To(gomega.BeNil())
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			x.run(ctx)
			x.releaseRoom()
			g.Expect(x.sends).To(gomega.Equal(c.sends), "%v", x.trace.steps)
			g.Expect(r.largeAnswers.bounds.Bytes()).To(gomega.BeZero())
		})
	}
}

// Guards against a download that is not sent to another server after one has failed under it.
func TestDownloadIsRetriedAtAnotherServer(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	serve := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1000)) }
	r := newDownloadNode(t, transfer.Limits{Memory: 1}, fail, serve)
	for range 4 {
		gomega.NewWithT(t).Expect(download(r).Code).To(gomega.Equal(http.StatusOK))
	}
}

// Guards against a request that is sent, or that waits until its deadline, although room cannot come in time.
func TestDownloadWithoutRoomInTimeIsRefusedAtOnceAndNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newDownloadNode(t, transfer.Limits{Memory: 1}, func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	unread := &transfer.Request{Route: "r", ArrivedAt: time.Now(), Deadline: time.Now().Add(10 * time.Second)}
	r.largeAnswers.mu.Lock()
	_, refusal := r.largeAnswers.bounds.Submit(unread, time.Now().Add(-20*time.Second)) // its caller has not read it for 20 s
	r.largeAnswers.mu.Unlock()
	g.Expect(refusal).To(gomega.BeNil())
	asked := time.Now()
	answer := download(r)
	g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(answer.Body.String()).To(gomega.ContainSubstring(string(transfer.Memory)))
	g.Expect(time.Since(asked)).To(gomega.BeNumerically("<", time.Second))
	r.largeAnswers.release(unread)
	g.Expect(r.largeAnswers.bounds.Bytes()).To(gomega.BeZero())
}

// Guards against requests that wait for the link until an answer ends, although its caller reads it slowly.
func TestDownloadsDoNotWaitForSlowReaders(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newDownloadNode(t, transfer.Limits{Link: 5000}, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 400)) })
	for range 100 { // until their size is known
		g.Expect(download(r).Code).To(gomega.Equal(http.StatusOK))
	}
	arrived := time.Now()
	slow := &transfer.Request{Route: "r", ArrivedAt: arrived, Deadline: arrived.Add(10 * time.Second), Objective: 200 * time.Millisecond}
	r.largeAnswers.submit(slow)
	r.largeAnswers.received(slow, 1000) // all that the link delivers within the objective
	g.Expect(r.largeAnswers.bounds.Waiting()).To(gomega.BeZero())
	g.Expect(download(r).Code).To(gomega.Equal(http.StatusOK))
	g.Expect(time.Since(arrived)).To(gomega.BeNumerically(">", 200*time.Millisecond), "the link may be taken")
	r.largeAnswers.release(slow)
	g.Expect(r.largeAnswers.bounds.Bytes()).To(gomega.BeZero())
}

// Guards against room for a forwarded request that is not given back.
func TestForwardedDownloadGivesItsRoomBack(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newForwardingSite(t, site.Idempotent, 1, answerRequest, nil)
	node := s.others[0]
	node.state.Now().Config.Routes[0].LargeAnswers = true
	message := forward.Request{Node: "origin", Boot: "origin-boot", ToBoot: "other-0-boot", Method: http.MethodGet, Host: "h", Target: "/x", Caller: "10.0.0.1:1", ObjectiveMs: 1000}
	request := httptest.NewRequest(http.MethodPost, forward.Path, nil)
	request.RemoteAddr = "127.0.0.1:5"
	request.Header.Set("Request-Id", "r1")
	request.Header.Set(forward.Header, forward.Encode(message))
	answer := httptest.NewRecorder()
	node.ServeForwarded(answer, request)
	g.Expect(answer.Code).To(gomega.Equal(http.StatusCreated))
	g.Expect(node.LargeAnswers()).To(gomega.Equal(LargeAnswers{}))
}

// unreadingCaller is a caller whose connection ends since it does not read.
type unreadingCaller struct {
	*httptest.ResponseRecorder
	limit time.Duration
}

func (*unreadingCaller) Disconnected() bool                { return false }
func (c *unreadingCaller) LimitStalls(limit time.Duration) { c.limit = limit }
func (c *unreadingCaller) Write([]byte) (int, error)       { return 0, &StalledError{After: c.limit} }

// Guards against large answers without a limit on stalled writes, and against other answers with one.
func TestOnlyWritesOfLargeAnswersMayNotStall(t *testing.T) {
	for large, limit := range map[bool]time.Duration{true: stallTimeout, false: 0} {
		g := gomega.NewWithT(t)
		r := newDownloadNode(t, transfer.Limits{Memory: 1}, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1000)) })
		r.state.Now().Config.Routes[0].LargeAnswers = large
		caller := &unreadingCaller{ResponseRecorder: httptest.NewRecorder()}
		request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		r.ServeHTTP(caller, request.WithContext(WithCaller(request.Context(), caller)))
		g.Expect(caller.limit).To(gomega.Equal(limit))
		g.Expect(r.largeAnswers.bounds.Bytes()).To(gomega.BeZero(), "the room is given back")
	}
}

// Guards against requests that wait for room until their deadline, although an answer can no longer arrive in time.
func TestWaitForRoomEndsWhenItIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newDownloadNode(t, transfer.Limits{Memory: 1})
		bounds, now := r.largeAnswers.bounds, time.Now()
		newRequest := func() *transfer.Request {
			return &transfer.Request{Route: "r", ArrivedAt: now, Deadline: now.Add(80 * time.Millisecond)}
		}
		for range 200 { // answers take 40 ms
			answered := newRequest()
			bounds.Submit(answered, now)
			bounds.Received(answered, 1000, now)
			bounds.Release(answered, now.Add(40*time.Millisecond))
		}
		g.Expect(r.largeAnswers.submit(newRequest())).To(gomega.BeNil())
		x := &exchange{router: r, route: &r.state.Now().Config.Routes[0], arrived: now, deadline: now.Add(80 * time.Millisecond)}
		ctx, cancel := context.WithDeadline(t.Context(), x.deadline)
		defer cancel()
		refused := x.acquireRoom(ctx)
		g.Expect(refused.reason).To(gomega.Equal(string(transfer.Memory)))
		g.Expect(time.Since(now)).To(gomega.BeNumerically("~", 60*time.Millisecond, time.Millisecond), "half of the usual time is left")
		g.Expect(r.LargeAnswers().Waiting).To(gomega.BeZero())
		g.Expect(r.LargeAnswers().InFlight).To(gomega.Equal(1))
		x.releaseRoom()
		g.Expect(r.LargeAnswers().InFlight).To(gomega.Equal(1), "it has none to give back")
	})
}
