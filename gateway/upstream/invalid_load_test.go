package upstream

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A load header with one more figure was dropped without a line: limits and the choice of
// servers then worked without any report.
func TestLoadReportThatIsNotUnderstoodIsLoggedOnceAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Load", "many")
	}))
	defer server.Close()
	var log bytes.Buffer
	headers := Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", Load: "Load", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}
	client := NewClient(headers, "a")
	client.SetLogger(hclog.New(&hclog.LoggerOptions{Output: &log}))
	before := invalidLoadCount.Value()
	for range 3 {
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Header: http.Header{"Request-Id": {"1"}}, Remaining: time.Minute}
		_, err := client.Send(t.Context(), site.Server{ID: "s", Address: strings.TrimPrefix(server.URL, "http://")}, request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(strings.Count(log.String(), "many")).To(gomega.Equal(1))
	g.Expect(invalidLoadCount.Value() - before).To(gomega.Equal(int64(3)))
}
