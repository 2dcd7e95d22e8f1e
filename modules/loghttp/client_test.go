package loghttp_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/modules/loghttp"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/logtest"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/standin/platformlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

var _ = ginkgo.Describe("client of the log service", func() {
	// Only an explicit statement of the log service proves that nothing was appended.
	ginkgo.DescribeTable("classifies append responses",
		func(status int, body string, proven bool) {
			t := ginkgo.GinkgoTB()
			g := gomega.NewWithT(t)
			client, _ := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			}))
			_, err := client.Append(t.Context(), []byte("x"))
			var unavailable *platlog.UnavailableError
			var uncertain *platlog.UncertainError
			g.Expect(errors.As(err, &unavailable)).To(gomega.Equal(proven), err.Error())
			g.Expect(errors.As(err, &uncertain)).To(gomega.Equal(!proven), err.Error())
		},
		ginkgo.Entry("refused by the service", 503, `{"code":"unavailable","appended":false}`, true),
		ginkgo.Entry("rate limit", 429, `{"code":"rate_limited","appended":false}`, true),
		ginkgo.Entry("refused without stating whether it appended", 503, `{"code":"unavailable"}`, false),
		ginkgo.Entry("states that it appended", 500, `{"code":"unavailable","appended":true}`, false),
		ginkgo.Entry("response of an intermediary", 502, `<html>bad gateway</html>`, false),
		ginkgo.Entry("redirect", 307, ``, false),
		ginkgo.Entry("offset missing", 200, `{}`, false),
		ginkgo.Entry("not JSON", 200, `ok`, false),
	)

	ginkgo.It("a refused connection proves that nothing was appended", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		client, server := connect(t, http.NotFoundHandler())
		server.Close()
		_, err := client.Append(t.Context(), []byte("x"))
		var unavailable *platlog.UnavailableError
		g.Expect(errors.As(err, &unavailable)).To(gomega.BeTrue(), err.Error())
	})

	ginkgo.DescribeTable("read responses that violate the protocol",
		func(body string) {
			t := ginkgo.GinkgoTB()
			g := gomega.NewWithT(t)
			client, _ := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			_, err := client.Read(t.Context(), platlog.ReadRequest{From: 1})
			var unavailable *platlog.UnavailableError
			g.Expect(errors.As(err, &unavailable)).To(gomega.BeTrue())
			var protocol *loghttp.ProtocolError
			g.Expect(errors.As(err, &protocol)).To(gomega.BeTrue(), err.Error())
		},
		func(body string) string { return body },
		ginkgo.Entry(nil, `not JSON`),
		ginkgo.Entry(nil, `{}`),
		ginkgo.Entry(nil, `{"first":1,"end":0,"records":[]}`),
		ginkgo.Entry(nil, `{"first":1,"end":9,"records":[{"offset":1},{"offset":3}]}`),
		ginkgo.Entry(nil, `{"first":1,"end":1,"records":[{"offset":1}]}`),
		ginkgo.Entry(nil, `{"first":1,"end":2,"records":[{"offset":1,"data":"?"}]}`),
	)
})

func connect(t testing.TB, handler http.Handler) (*loghttp.Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	client := loghttp.NewClient(base, "site one", 5*time.Second)
	t.Cleanup(client.Close)
	return client, server
}

// post sends an administration request to the simulated log service.
func post(t testing.TB, target string, body any) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(target, "application/json", bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d", target, response.StatusCode)
	}
}

func TestSpecs(t *testing.T) { spectest.Run(t, "modules/loghttp") }

var _ = logtest.Describe("log.http", func(t testing.TB) logtest.Target {
	client, server := connect(t, platformlog.New(platformlog.Config{}))
	set := func(faults platformlog.Faults) func() {
		return func() { post(t, server.URL+platformlog.PathFaults, faults) }
	}
	down := func(outage platformlog.Outage) func() {
		return set(platformlog.Faults{Reads: outage, Appends: outage})
	}
	return logtest.Target{
		Log: client,
		Truncate: func(first topo.Offset) {
			post(t, server.URL+platformlog.PathTruncate, platformlog.Truncation{Stream: "site one", First: first})
		},
		Faults: logtest.Faults{
			Down:         down(platformlog.OutageRefuse),
			Cut:          down(platformlog.OutageCut),
			Unresponsive: down(platformlog.OutageHang),
			LoseAnswer:   set(platformlog.Faults{LoseAnswers: 1}),
			LoseRequest:  set(platformlog.Faults{LoseRequests: 1}),
			Repeat:       set(platformlog.Faults{Repeat: 2}),
			Heal:         set(platformlog.Faults{}),
		},
	}
}, logtest.Down, logtest.Cut, logtest.Unresponsive, logtest.AnswerLost, logtest.RequestLost, logtest.ReadAgain)
