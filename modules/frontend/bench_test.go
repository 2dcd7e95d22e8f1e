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

// Services of the tests' site.
const (
	logs     = topo.Service("well-logs") // divided by key
	payments = topo.Service("payments")  // not divided by key
	group    = topo.GroupID("zone-a/0")
)

// patience bounds waits.
const patience = 20 * time.Second

// bench is an entry node with a front end, and callers, over a network in memory
// and under a faked clock. The node is the lessor unless another is named.
type bench struct {
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

// plan is how a bench differs from the usual one.
type plan struct {
	logs, payments func(*siteconfig.Service)
	limits         func(*settings.Limits)
	lessor         topo.NodeID // another node; it is started
	options        []rt.Option
}

// newBench starts a bench; another lessor's node is returned as well.
func newBench(t *testing.T, p plan) (*bench, *rt.Node) {
	b := &bench{WithT: gomega.NewWithT(t), t: t, site: routetest.New(), driver: rt.NewDriver(), network: rt.NewMemory()}
	world := &rt.World{Site: b.site, Driver: b.driver, Network: b.network}
	keyed, unkeyed := rt.Keyed(), rt.Unkeyed()
	keyed.Name, unkeyed.Name = logs, payments
	if p.logs != nil {
		p.logs(keyed)
	}
	if p.payments != nil {
		p.payments(unkeyed)
	}
	b.site.Configure(keyed, unkeyed)
	options := slices.Clone(p.options)
	options = append(options, func(s *settings.Settings, _ *kernel.Context) {
		if p.limits != nil {
			p.limits(&s.Limits)
		}
	})
	b.node = world.Start(t, "entry", options...)
	lessor := b.node
	if p.lessor != "" {
		lessor = world.Start(t, p.lessor)
	}
	rt.Serve(b.site, logs, "zone-a", "s1", "s2")
	rt.Serve(b.site, payments, "zone-a", "p1", "p2")
	b.site.Lead(group, lessor.ID, rt.Boot)
	b.site.AssignAll(logs, "s1")
	b.frontend, b.address = b.node.Open(t)
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100, DialContext: b.network.Dial}
	b.client = &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	return b, lessor
}

// all sets what every server does.
func (b *bench) all(behave rt.Behaviour) {
	for _, id := range []topo.ServerID{"s1", "s2", "p1", "p2"} {
		b.driver.Set(id, behave)
	}
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	body    string
	cut     error // the body did not come whole
	failure callerapi.Failure
}

// send makes one request with alternating header names and values.
func (b *bench) send(method, path string, body io.Reader, headers ...string) reply {
	request, err := http.NewRequest(method, "http://"+b.address+path, body)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return b.do(request)
}

func (b *bench) do(request *http.Request) reply {
	response, err := b.client.Do(request)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, cut := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: string(text), cut: cut}
	_ = json.Unmarshal(text, &got.failure)
	return got
}

// raw writes bytes as they are and reads one answer meanwhile.
func (b *bench) raw(text string) reply {
	conn, err := b.network.Dial(context.Background(), "tcp", b.address)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	go func() { _, _ = conn.Write([]byte(text)) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	content, cut := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: string(content), cut: cut}
	_ = json.Unmarshal(content, &got.failure)
	return got
}

// Paths of the usual requests.
var (
	keyPath   = callerapi.KeyedPath(logs, "borehole-7", "casing")
	orderPath = callerapi.UnkeyedPath(payments, "deposits")
)

// long is a body that is longer than what a node keeps.
func long() io.Reader { return strings.NewReader(strings.Repeat("x", 200<<10)) }

// undeclared hides a body's length.
func undeclared(r io.Reader) io.Reader { return struct{ io.Reader }{r} }
