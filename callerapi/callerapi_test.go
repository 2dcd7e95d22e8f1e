package callerapi_test

import (
	"errors"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

func TestPaths(t *testing.T) {
	rows := []struct {
		path   string
		want   callerapi.Target
		reason serverapi.Reason
	}{
		{path: "/v1/services/logs/keys/well-7/requests/casing/3", want: callerapi.Target{Service: "logs", Keyed: true, Key: "well-7", Rest: "casing/3"}},
		{path: "/v1/services/logs/keys/a%2Fb/requests/", want: callerapi.Target{Service: "logs", Keyed: true, Key: "a/b"}},
		{path: "/v1/services/logs/keys/a%2Fb/requests", want: callerapi.Target{Service: "logs", Keyed: true, Key: "a/b"}},
		{path: "/v1/services/logs/keys/%00%FF/requests/x%2Fy", want: callerapi.Target{Service: "logs", Keyed: true, Key: "\x00\xff", Rest: "x%2Fy"}},
		{path: "/v1/services/logs/keys/requests/requests/x", want: callerapi.Target{Service: "logs", Keyed: true, Key: "requests", Rest: "x"}},
		{path: "/v1/services/logs/keys/k/tickets", want: callerapi.Target{Service: "logs", Keyed: true, Key: "k", Ticket: true}},
		{path: "/v1/services/logs/keys/k/requests/tickets", want: callerapi.Target{Service: "logs", Keyed: true, Key: "k", Rest: "tickets"}},
		{path: "/v1/services/pay/requests/order?", want: callerapi.Target{Service: "pay", Rest: "order?"}},
		{path: "/v1/services/pay/requests/keys/1", want: callerapi.Target{Service: "pay", Rest: "keys/1"}},
		{path: "/v1/services/pay/tickets", want: callerapi.Target{Service: "pay", Ticket: true}},
		{path: "/v2/services/pay/requests/x", reason: callerapi.ReasonNoSuchPath},
		{path: "/v1/services/", reason: callerapi.ReasonUnknownService},
		{path: "/v1/services/%zz/requests/x", reason: callerapi.ReasonUnknownService},
		{path: "/v1/services/logs/keys//requests/x", reason: callerapi.ReasonMissingKey},
		{path: "/v1/services/logs/keys/", reason: callerapi.ReasonMissingKey},
		{path: "/v1/services/logs/keys/k", reason: callerapi.ReasonNoSuchPath},
		{path: "/v1/services/logs/keys/k/other", reason: callerapi.ReasonNoSuchPath},
		{path: "/v1/services/logs/keys/k/tickets/more", reason: callerapi.ReasonNoSuchPath},
		{path: "/v1/services/logs/keys/" + strings.Repeat("k", callerapi.MaxKeyBytes+1) + "/requests/", reason: callerapi.ReasonBadKey},
		{path: "/v1/services/logs/keys/k/requests/../ownership/lease", reason: callerapi.ReasonBadPath},
		{path: "/v1/services/logs/keys/k/requests/%2e%2e/ownership/lease", reason: callerapi.ReasonBadPath},
		{path: "/v1/services/logs/keys/k/requests/x%2f..%2fy", reason: callerapi.ReasonBadPath},
		{path: "/v1/services/logs/keys/k/requests/..%5cy", reason: callerapi.ReasonBadPath},
		{path: "/v1/services/logs/keys/k/requests/%zz", reason: callerapi.ReasonBadPath},
	}
	for _, row := range rows {
		g := gomega.NewWithT(t)
		target, err := callerapi.ParsePath(row.path)
		if row.reason == "" {
			g.Expect(err).NotTo(gomega.HaveOccurred(), row.path)
			g.Expect(target).To(gomega.Equal(row.want), row.path)
			continue
		}
		var refused *callerapi.PathError
		g.Expect(errors.As(err, &refused)).To(gomega.BeTrue(), row.path)
		g.Expect(refused.Reason).To(gomega.Equal(row.reason), row.path)
	}
}

// TestBuiltPathsParse builds paths for arbitrary services, keys and rests, and
// parses them as net/http would.
func TestBuiltPathsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := topo.Service(rapid.StringN(1, -1, 40).Draw(t, "service"))
		key := string(rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "key"))
		rest := rapid.SampledFrom([]string{"", "a", "a/b", "keys/x/tickets"}).Draw(t, "rest")
		built := callerapi.KeyedPath(service, key, rest)
		seen, err := url.ParseRequestURI(built)
		if err != nil {
			t.Fatalf("%q: %v", built, err)
		}
		target, err := callerapi.ParsePath(seen.EscapedPath())
		want := callerapi.Target{Service: service, Keyed: true, Key: key, Rest: rest}
		if err != nil || target != want {
			t.Fatalf("%q: %+v, %v", built, target, err)
		}
		seen, err = url.ParseRequestURI(callerapi.TicketPath(service, key))
		if err != nil {
			t.Fatal(err)
		}
		target, err = callerapi.ParsePath(seen.EscapedPath())
		if err != nil || !target.Ticket || target.Key != key || target.Service != service {
			t.Fatalf("%+v, %v", target, err)
		}
	})
}

func TestHeaders(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]time.Duration{"": 0, "1": time.Millisecond, "2500": 2500 * time.Millisecond, "99999999999999": callerapi.MaxDeadline} {
		wait, err := callerapi.ParseDeadline(text)
		g.Expect(err).NotTo(gomega.HaveOccurred(), text)
		g.Expect(wait).To(gomega.Equal(want), text)
	}
	for _, text := range []string{"0", "-1", "1.5", "10ms", " 1", "1e3", "0x10", "99999999999999999999"} {
		_, err := callerapi.ParseDeadline(text)
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
	for _, text := range []string{"-1", "9", "x", "65536"} {
		_, err := callerapi.ParseHop(text)
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
	g.Expect(callerapi.RetryAfterSeconds(0)).To(gomega.Equal("1"))
	g.Expect(callerapi.RetryAfterSeconds(1001 * time.Millisecond)).To(gomega.Equal("2"))
}

// TestForgedHeadersAreRemoved checks that a caller cannot forge a fence.
func TestForgedHeadersAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	header := http.Header{}
	header.Set(serverapi.HeaderFence, "9.0")
	header.Set(serverapi.HeaderTerm, "9.0")
	header.Set("Connection", "keep-alive, X-Mine")
	header.Set("X-Mine", "1")
	header.Set("Transfer-Encoding", "chunked")
	header.Set("Accept", "text/plain")
	g.Expect(callerapi.Forwardable(header)).To(gomega.Equal(http.Header{"Accept": {"text/plain"}}))
}

func FuzzParsePath(f *testing.F) {
	f.Add("/v1/services/logs/keys/well-7/requests/casing/3")
	f.Add("/v1/services/logs/keys/a%2Fb/tickets")
	f.Add("/v1/services/pay/requests/%2e%2e/ownership")
	f.Add("/v1/services//keys//")
	f.Fuzz(func(t *testing.T, text string) {
		target, err := callerapi.ParsePath(text)
		if err != nil {
			return
		}
		if target.Service == "" || target.Keyed && target.Key == "" || len(target.Key) > callerapi.MaxKeyBytes {
			t.Fatalf("%q: %+v", text, target)
		}
		decoded, err := url.PathUnescape(target.Rest)
		if err != nil {
			t.Fatalf("%q: rest %q cannot be decoded", text, target.Rest)
		}
		if cleaned := path.Join("/serve/", decoded); cleaned != "/serve" && !strings.HasPrefix(cleaned, "/serve/") {
			t.Fatalf("%q leaves the servers' tree: %q", text, cleaned)
		}
	})
}

func FuzzParseDeadline(f *testing.F) {
	f.Add("2500")
	f.Add("-1")
	f.Fuzz(func(t *testing.T, text string) {
		wait, err := callerapi.ParseDeadline(text)
		if err == nil && (wait < 0 || wait > callerapi.MaxDeadline || wait == 0 && text != "") {
			t.Fatalf("%q: %v", text, wait)
		}
	})
}
