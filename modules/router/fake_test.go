package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	keyedName   = topo.Service("records")
	unkeyedName = topo.Service("quotes") // not divided by key
	groupName   = topo.GroupID("zone-a/0")
)

// behaviour is what a fake server does with one request.
type behaviour func(ctx context.Context, req backend.Request) (*backend.Response, error)

// fakeDriver is an in-memory backend.Driver. It counts what each server holds
// at once and keeps every attempt.
type fakeDriver struct {
	mu       sync.Mutex
	behave   map[topo.ServerID]behaviour
	attempts []attempt
	inFlight map[topo.ServerID]int
	peak     map[topo.ServerID]int
}

type attempt struct {
	server topo.ServerID
	req    backend.Request
	body   []byte
}

func newFakeDriver() *fakeDriver {
	return &fakeDriver{
		behave:   map[topo.ServerID]behaviour{},
		inFlight: map[topo.ServerID]int{},
		peak:     map[topo.ServerID]int{},
	}
}

func (f *fakeDriver) Lease(context.Context, backend.Target, serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	return serverapi.LeaseReply{}, nil
}

func (f *fakeDriver) Acknowledge(context.Context, backend.Target, serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error) {
	return serverapi.LeaseReply{}, nil
}

func (f *fakeDriver) Forget(topo.ServerID) {}

func (f *fakeDriver) Do(ctx context.Context, to backend.Target, req backend.Request) (*backend.Response, error) {
	behave := f.enter(to.ID)
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			f.leave(to.ID)
			return nil, &backend.AttemptError{Server: to.ID, Sent: true, Cause: err}
		}
	}
	f.keep(attempt{server: to.ID, req: req, body: body})
	if behave == nil {
		behave = answer(http.StatusOK, "ok "+string(to.ID))
	}
	response, err := behave(ctx, req)
	if err != nil {
		f.leave(to.ID)
		return nil, err
	}
	response.Body = &countedBody{ReadCloser: response.Body, done: func() { f.leave(to.ID) }}
	return response, nil
}

func (f *fakeDriver) enter(id topo.ServerID) behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[id]++
	f.peak[id] = max(f.peak[id], f.inFlight[id])
	return f.behave[id]
}

func (f *fakeDriver) leave(id topo.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[id]--
}

func (f *fakeDriver) keep(a attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, a)
}

func (f *fakeDriver) set(id topo.ServerID, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behave[id] = b
}

func (f *fakeDriver) all() []attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]attempt(nil), f.attempts...)
}

func (f *fakeDriver) highest(id topo.ServerID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peak[id]
}

type countedBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

func (b *countedBody) Close() error {
	b.once.Do(b.done)
	return b.ReadCloser.Close()
}

// answer is the behaviour of a server that runs requests at once.
func answer(status int, text string) behaviour {
	return func(_ context.Context, req backend.Request) (*backend.Response, error) {
		return responseTo(req, status, text), nil
	}
}

func responseTo(req backend.Request, status int, text string) *backend.Response {
	header := http.Header{}
	header.Set(serverapi.HeaderRequestID, req.RequestID)
	return &backend.Response{
		Status:  status,
		Outcome: serverapi.OutcomeAnswered,
		Header:  header,
		Body:    io.NopCloser(bytes.NewReader([]byte(text))),
	}
}

// decline is the behaviour of a server that answers without a result.
func decline(outcome serverapi.Outcome, reason serverapi.Reason, status int) behaviour {
	return func(_ context.Context, req backend.Request) (*backend.Response, error) {
		response := responseTo(req, status, "")
		response.Outcome, response.Reason = outcome, reason
		return response, nil
	}
}

// unreachable is the behaviour of a server that cannot be connected to.
func unreachable(_ context.Context, _ backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Sent: false, Cause: io.ErrClosedPipe}
}

// lost is the behaviour of a server whose answer is lost.
func lost(_ context.Context, _ backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Sent: true, Cause: io.ErrUnexpectedEOF}
}

// hanging is the behaviour of a server that never answers.
func hanging(ctx context.Context, _ backend.Request) (*backend.Response, error) {
	<-ctx.Done()
	return nil, &backend.AttemptError{Sent: true, Silent: true, Cause: ctx.Err()}
}

// keyedService is a service whose servers check fencing tokens.
func keyedService() *siteconfig.Service {
	return &siteconfig.Service{
		Name:                 keyedName,
		Keyed:                true,
		Shards:               4,
		ConcurrencyPerServer: 4,
		ConnectionsPerServer: 100,
		ChecksFencing:        true,
		IdempotentMethods:    map[string]bool{"GET": true},
		Deadline:             10 * time.Second,
		Weighting:            siteconfig.WeightUnavailability,
		MaxBodyBytes:         1 << 20,
	}
}

func unkeyedService() *siteconfig.Service {
	service := keyedService()
	service.Name = unkeyedName
	service.Keyed = false
	service.Shards = 0
	return service
}

func testSettings() *settings.Settings {
	limits := settings.DefaultLimits()
	limits.DrainDelay = 0
	return &settings.Settings{Limits: limits, Timing: settings.DefaultTiming()}
}

// started returns a router of a node at a site, started until the test ends.
func started(t testing.TB, site *routetest.Site, driver backend.Driver, self kernel.Identity, options ...func(*kernel.Context)) (*Module, *peer.Handlers) {
	g := gomega.NewWithT(t)
	ctx := kernel.NewContext(self, hclog.NewNullLogger())
	handlers := &peer.Handlers{}
	g.Expect(kernel.Provide(ctx, testSettings())).To(gomega.Succeed())
	g.Expect(kernel.Provide[state.Source](ctx, site)).To(gomega.Succeed())
	g.Expect(kernel.Provide(ctx, driver)).To(gomega.Succeed())
	g.Expect(kernel.Provide(ctx, handlers)).To(gomega.Succeed())
	for _, option := range options {
		option(ctx)
	}
	m := &Module{}
	g.Expect(m.Provision(ctx)).To(gomega.Succeed())
	g.Expect(m.Start(context.Background())).To(gomega.Succeed())
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m, handlers
}

var lessorNode = kernel.Identity{Node: "node-1", Boot: "b1", Zone: "zone-a", Region: "region"}

// oneNodeSite has one node, which is the lessor, and the named servers of both
// services.
func oneNodeSite(services []*siteconfig.Service, servers ...topo.ServerID) *routetest.Site {
	site := routetest.New()
	site.Configure(services...)
	site.Run("node-1", "b1", "127.0.0.1:1")
	for i, id := range servers {
		service := services[i%len(services)]
		site.Backend(state.Server{ID: id, Service: service.Name, Zone: "zone-a", Address: "127.0.0.1:2", Group: groupName, Phase: state.PhaseLive})
	}
	site.Lead(groupName, "node-1", "b1")
	return site
}

func get(key string) *exchange.Request {
	return &exchange.Request{ID: "r-" + key, Service: keyedName, Keyed: true, Key: key, Method: "GET", Path: "log"}
}

func post(key string) *exchange.Request {
	req := get(key)
	req.Method = "POST"
	return req
}

func read(t testing.TB, a *exchange.Answer) string {
	if a.Body == nil {
		return ""
	}
	text, err := io.ReadAll(a.Body)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	_ = a.Body.Close()
	return string(text)
}
