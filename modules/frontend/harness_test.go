package frontend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/modules/frontend"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Services and group of the test site.
const (
	logs     = topo.Service("well-logs") // keyed
	payments = topo.Service("payments")  // unkeyed
	group    = topo.GroupID("zone-a/0")
)

// waitTimeout limits waits for a condition.
const waitTimeout = 20 * time.Second

// harness is an entry node with a front end, and callers, over an in-memory
// network and under a fake clock. The node is the lessor unless the options name
// another lessor.
type harness struct {
	*gomega.WithT
	t        *testing.T
	network  *rt.Memory
	client   *http.Client
	site     *routetest.Site
	driver   *rt.Driver
	node     *rt.Node
	frontend *frontend.Module
	address  string
}

// harnessOptions changes the defaults of a harness.
type harnessOptions struct {
	logs, payments func(*siteconfig.Service)
	limits         func(*settings.Limits)
	lessor         topo.NodeID // another node to start as the lessor
	options        []rt.Option
}

// newHarness starts a harness and also returns the node of the lessor.
func newHarness(t *testing.T, o harnessOptions) (*harness, *rt.Node) {
	h := &harness{WithT: gomega.NewWithT(t), t: t, site: routetest.New(), driver: rt.NewDriver(), network: rt.NewMemory()}
	world := &rt.World{Site: h.site, Driver: h.driver, Network: h.network}
	keyed, unkeyed := rt.Keyed(), rt.Unkeyed()
	keyed.Name, unkeyed.Name = logs, payments
	if o.logs != nil {
		o.logs(keyed)
	}
	if o.payments != nil {
		o.payments(unkeyed)
	}
	h.site.Configure(keyed, unkeyed)
	options := slices.Clone(o.options)
	options = append(options, func(s *settings.Settings, _ *kernel.Context) {
		if o.limits != nil {
			o.limits(&s.Limits)
		}
	})
	h.node = world.Start(t, "entry", options...)
	lessor := h.node
	if o.lessor != "" {
		lessor = world.Start(t, o.lessor)
	}
	rt.AddServers(h.site, logs, "zone-a", "s1", "s2")
	rt.AddServers(h.site, payments, "zone-a", "p1", "p2")
	h.site.Lead(group, lessor.ID, rt.Boot)
	h.site.AssignAll(logs, "s1")
	h.frontend, h.address = h.node.StartFrontend(t)
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100, DialContext: h.network.Dial}
	h.client = &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	return h, lessor
}

// setBehaviour sets the behaviour of all servers.
func (h *harness) setBehaviour(behave rt.Behaviour) {
	for _, id := range []topo.ServerID{"s1", "s2", "p1", "p2"} {
		h.driver.Set(id, behave)
	}
}

// reply is a response as received by a caller.
type reply struct {
	status  int
	header  http.Header
	body    string
	cut     error // error of reading an incomplete body
	failure callerapi.Failure
}

// send makes one request; headers alternates names and values.
func (h *harness) send(method, path string, body io.Reader, headers ...string) reply {
	request, err := http.NewRequest(method, "http://"+h.address+path, body)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return h.do(request)
}

func (h *harness) do(request *http.Request) reply {
	response, err := h.client.Do(request)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, cut := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: string(text), cut: cut}
	_ = json.Unmarshal(text, &got.failure)
	return got
}

// raw writes text unmodified to a new connection and concurrently reads one
// response.
func (h *harness) raw(text string) reply {
	conn, err := h.network.Dial(context.Background(), "tcp", h.address)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	go func() { _, _ = conn.Write([]byte(text)) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	content, cut := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: string(content), cut: cut}
	_ = json.Unmarshal(content, &got.failure)
	return got
}

// Paths of a keyed and an unkeyed request.
var (
	keyPath   = callerapi.KeyedPath(logs, "borehole-7", "casing")
	orderPath = callerapi.UnkeyedPath(payments, "deposits")
)

// longBody is a body longer than the prefix that a node buffers.
func longBody() io.Reader { return strings.NewReader(strings.Repeat("x", 200<<10)) }

// withoutLength hides the length of a body.
func withoutLength(r io.Reader) io.Reader { return struct{ io.Reader }{r} }
