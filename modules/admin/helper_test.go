package admin_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	_ "github.com/burdockspindle/burdockspindle/modules/admin"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func TestSpecs(t *testing.T) { spectest.Run(t, "modules/admin") }

const goodToken = "0123456789abcdef"

// logFault is a fault of the log that affects the next submitted record.
type logFault int

const (
	healthy        logFault = iota
	logUnavailable          // the record is proven not appended
	lostResponse            // the record is appended, but the submitter receives no response
	lostWrite               // the record is not appended, and the submitter receives no response
)

// appender forwards records to the site unless a fault is injected.
type appender struct {
	*sitefake.Node

	mu     sync.Mutex
	faults []logFault

	changedCalls atomic.Int64 // number of calls of Changed
}

// Changed implements state.Source.
func (a *appender) Changed() <-chan struct{} {
	a.changedCalls.Add(1)
	return a.Node.Changed()
}

// inject sets the faults for the next records, one fault per record.
func (a *appender) inject(faults ...logFault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

func (a *appender) next() logFault {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.faults) == 0 {
		return healthy
	}
	fault := a.faults[0]
	a.faults = a.faults[1:]
	return fault
}

// Submit implements follower.Appender.
func (a *appender) Submit(ctx context.Context, record *bspb.Record) (follower.Outcome, error) {
	unknown := &follower.UnknownOutcomeError{Cause: &platlog.UncertainError{Cause: context.DeadlineExceeded}}
	switch a.next() {
	case logUnavailable:
		return follower.Outcome{}, &follower.NotAppendedError{Cause: &platlog.UnavailableError{Op: "append", Cause: context.DeadlineExceeded}}
	case lostResponse:
		_, _ = a.Node.Submit(ctx, record)
		return follower.Outcome{}, unknown
	case lostWrite:
		return follower.Outcome{}, unknown
	}
	return a.Node.Submit(ctx, record)
}

// LastContact implements follower.Contact.
func (a *appender) LastContact() time.Time { return time.Now() }

func (a *appender) Failing() bool { return false }

// peers records the move requests that are sent to other nodes.
type peers struct {
	peer.Caller // nil, because only the methods below are called
	err         error

	mu       sync.Mutex
	requests map[topo.NodeID][]*bspb.MoveRequest
}

func (p *peers) Sender() *bspb.Sender { return &bspb.Sender{Node: "a1", Boot: "1", Zone: "a"} }

func (p *peers) Move(_ context.Context, to topo.NodeID, req *bspb.MoveRequest) (*bspb.MoveResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return nil, p.err
	}
	p.requests[to] = append(p.requests[to], req)
	return &bspb.MoveResponse{Accepted: uint32(len(req.Moves))}, nil
}

// rig is the administration API of one node with an in-memory site.
type rig struct {
	*gomega.WithT
	site     *sitefake.Site
	appender *appender
	peers    *peers
	handlers *peer.Handlers
	module   kernel.Module
	url      string
	drains   chan struct{}
}

// newRig starts node "a1" of a site without records.
func newRig(t testing.TB) *rig { return joinRig(t, sitefake.New(), "a1") }

// joinRig starts a node of a site that several nodes share.
func joinRig(t testing.TB, site *sitefake.Site, node string) *rig {
	return startRig(t, site, node, nil)
}

// startRig starts a node of a site, with TLS if files is not nil.
func startRig(t testing.TB, site *sitefake.Site, node string, files *settings.TLS) *rig {
	r := &rig{
		WithT:    gomega.NewWithT(t),
		site:     site,
		appender: &appender{Node: site.Node(node, "1")},
		peers:    &peers{requests: map[topo.NodeID][]*bspb.MoveRequest{}},
		handlers: &peer.Handlers{},
		drains:   make(chan struct{}, 8),
	}
	r.start(t, node, files)
	return r
}

func (r *rig) start(t testing.TB, node string, files *settings.TLS) {
	ctx := kernel.NewContext(kernel.Identity{Node: topo.NodeID(node), Boot: "1", Zone: "a"}, hclog.NewNullLogger())
	s := &settings.Settings{
		Admin:  settings.Admin{Listener: settings.Listener{Address: "127.0.0.1:0", TLS: files}, Token: goodToken},
		Limits: settings.DefaultLimits(),
	}
	r.provide(
		kernel.Provide(ctx, s),
		kernel.Provide[state.Source](ctx, r.appender),
		kernel.Provide[follower.Appender](ctx, r.appender),
		kernel.Provide[follower.Contact](ctx, r.appender),
		kernel.Provide[peer.Caller](ctx, r.peers),
		kernel.Provide(ctx, r.handlers),
		kernel.Provide(ctx, kernel.DumpFunc(func() map[string]any { return map[string]any{"duty.test": "state"} })),
		kernel.Provide(ctx, kernel.DrainFunc(r.recordDrain)),
	)
	module, err := kernel.New("admin.http")
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.module = module
	r.Expect(module.(kernel.Provisioner).Provision(ctx)).To(gomega.Succeed())
	r.Expect(module.(kernel.Validator).Validate()).To(gomega.Succeed())
	r.Expect(module.(kernel.Starter).Start(context.Background())).To(gomega.Succeed())
	t.Cleanup(func() { _ = module.(kernel.Stopper).Stop(context.Background()) })
	_, address := module.(kernel.Listening).ListenAddress()
	r.url = "http://" + address
}

// recordDrain records a drain request without blocking, like a node's DrainFunc.
func (r *rig) recordDrain() {
	select {
	case r.drains <- struct{}{}:
	default:
	}
}

func (r *rig) provide(errs ...error) {
	for _, err := range errs {
		r.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

func (r *rig) client() *adminapi.Client {
	client, err := adminapi.NewClient(r.url, goodToken, "tester", nil)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	return client
}

// send sends one request with the given Authorization header, if it is not empty.
func (r *rig) send(method, path, token, body string) *http.Response {
	request, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	if token != "" {
		request.Header.Set("Authorization", token)
	}
	response, err := http.DefaultClient.Do(request)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	return response
}

// failure expects err to be a failure with the given code and returns it.
func (r *rig) failure(err error, code adminapi.Code) *adminapi.Failure {
	var failure *adminapi.Failure
	r.ExpectWithOffset(1, err).To(gomega.BeAssignableToTypeOf(failure))
	failure = err.(*adminapi.Failure) //nolint:errorlint // the type was just asserted
	r.ExpectWithOffset(1, failure.Code).To(gomega.Equal(code), failure.Message)
	return failure
}
