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

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/modules/loghttp"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/logtest"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/standin/platformlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

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

// post sends an administration request to the stand-in.
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
			Down:        down(platformlog.OutageRefuse),
			Cut:         down(platformlog.OutageCut),
			Silent:      down(platformlog.OutageSilent),
			LoseAnswer:  set(platformlog.Faults{LoseAnswers: 1}),
			LoseRequest: set(platformlog.Faults{LoseRequests: 1}),
			Repeat:      set(platformlog.Faults{Repeat: 2}),
			Heal:        set(platformlog.Faults{}),
		},
	}
}, logtest.Down, logtest.Cut, logtest.Silent, logtest.AnswerLost, logtest.RequestLost, logtest.ReadAgain)

// Only the service's own word proves that nothing was appended.
func TestAppendAnswers(t *testing.T) {
	cases := []struct {
		name        string
		status      int
		body        string
		unavailable bool
	}{
		{"refused by the service", 503, `{"code":"unavailable","appended":false}`, true},
		{"rate limit", 429, `{"code":"rate_limited","appended":false}`, true},
		{"refused without saying", 503, `{"code":"unavailable"}`, false},
		{"says that it appended", 500, `{"code":"unavailable","appended":true}`, false},
		{"from something between", 502, `<html>bad gateway</html>`, false},
		{"redirect", 307, ``, false},
		{"offset missing", 200, `{}`, false},
		{"not JSON", 200, `ok`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client, _ := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			_, err := client.Append(t.Context(), []byte("x"))
			var unavailable *platlog.UnavailableError
			var uncertain *platlog.UncertainError
			g.Expect(errors.As(err, &unavailable)).To(gomega.Equal(c.unavailable), err.Error())
			g.Expect(errors.As(err, &uncertain)).To(gomega.Equal(!c.unavailable), err.Error())
		})
	}
}

func TestNothingListeningIsProvenNotAppended(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := connect(t, http.NotFoundHandler())
	server.Close()
	_, err := client.Append(t.Context(), []byte("x"))
	var unavailable *platlog.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(gomega.BeTrue(), err.Error())
}

func TestReadAnswersThatBreakTheProtocol(t *testing.T) {
	for _, body := range []string{
		`not JSON`,
		`{}`,
		`{"first":1,"end":0,"records":[]}`,
		`{"first":1,"end":9,"records":[{"offset":1},{"offset":3}]}`,
		`{"first":1,"end":1,"records":[{"offset":1}]}`,
		`{"first":1,"end":2,"records":[{"offset":1,"data":"?"}]}`,
	} {
		t.Run(body, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client, _ := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			_, err := client.Read(t.Context(), platlog.ReadRequest{From: 1})
			var unavailable *platlog.UnavailableError
			g.Expect(errors.As(err, &unavailable)).To(gomega.BeTrue())
			var protocol *loghttp.ProtocolError
			g.Expect(errors.As(err, &protocol)).To(gomega.BeTrue(), err.Error())
		})
	}
}
