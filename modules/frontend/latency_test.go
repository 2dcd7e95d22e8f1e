package frontend_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/callerapi"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/modules/serverhttp"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/state"
)

// BenchmarkAddedLatency sends the same request directly to a server, through
// the entry node that is its admission point, and through an entry node that
// forwards to that node. The routes alternate over loopback, so that all run under
// the same conditions. It reports the median and the 99th percentile of each
// route, and the median latency that each of the two indirect routes adds.
func BenchmarkAddedLatency(b *testing.B) {
	g := gomega.NewWithT(b)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(serverapi.HeaderRequestID, r.Header.Get(serverapi.HeaderRequestID))
		_, _ = w.Write([]byte("the log of a borehole"))
	}))
	defer server.Close()
	driver := serverhttp.NewDriver(serverhttp.Options{Share: func(backend.Target) int { return 50 }}, hclog.NewNullLogger())
	defer driver.Close()
	site := routetest.New()
	service := rt.Keyed()
	site.Configure(service)
	world := &rt.World{Site: site, Driver: driver, Network: rt.Loopback{}}
	local, remote := world.Start(b, "lessor"), world.Start(b, "entry")
	_, localAddress := local.StartFrontend(b)
	_, remoteAddress := remote.StartFrontend(b)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	site.Backend(state.Server{ID: "s1", Service: service.Name, Zone: "zone-a", Address: strings.TrimPrefix(server.URL, "http://"), Group: group, Phase: state.PhaseLive})
	site.Lead(group, "lessor", rt.Boot)
	site.AssignAll(service.Name, "s1")
	path := callerapi.KeyedPath(service.Name, "borehole-7", "log")
	routes := []struct {
		name string
		url  string
	}{
		{"direct", server.URL + serverapi.PathRequest + "log"},
		{"local", "http://" + localAddress + path},
		{"forwarded", "http://" + remoteAddress + path},
	}
	latencies := make([][]time.Duration, len(routes))
	time.Sleep(1100 * time.Millisecond) // exclude the server's warm-up
	for b.Loop() {
		for i, route := range routes {
			begun := time.Now()
			response, err := client.Get(route.url)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_ = response.Body.Close()
			latencies[i] = append(latencies[i], time.Since(begun))
		}
	}
	medians := map[string]float64{}
	for i, route := range routes {
		slices.Sort(latencies[i])
		medians[route.name] = float64(latencies[i][len(latencies[i])/2].Microseconds())
		b.ReportMetric(medians[route.name], route.name+"-µs")
		b.ReportMetric(float64(latencies[i][len(latencies[i])*99/100].Microseconds()), route.name+"-p99-µs")
	}
	b.ReportMetric(medians["local"]-medians["direct"], "local-adds-µs")
	b.ReportMetric(medians["forwarded"]-medians["direct"], "forwarded-adds-µs")
}
