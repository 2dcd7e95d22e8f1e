package backendtest

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// describeHeaders checks that the server receives the protocol's headers and the
// caller's, except hop-by-hop headers and forged protocol headers.
func describeHeaders(open Open) {
	it("of a full request", open, runFullRequest)
	it("path without its slash", open, func(t testing.TB, open Open) {
		g := gomega.NewWithT(t)
		server, target := startFaultServer(t, echoAll)
		req := newRequest(http.MethodGet, true)
		req.Path = "records/k"
		g.Expect(do(t, open(t, longTimeouts()), target, req).failure).To(gomega.BeNil())
		g.Expect(server.seen()[0].path).To(gomega.Equal("/serve/records/k"))
	})
}

func runFullRequest(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, echoAll)
	req := newRequest(http.MethodPut, true)
	req.Path = "/records/a%2Fb/x?y=%20z"
	req.Key = "schlüssel 100%"
	req.Shard = topo.ShardID{Service: "licensing", Index: 4, Key: req.Key}
	req.Term = topo.MakeTerm(11, 1)
	req.IdempotencyKey = "bs1-f7.1-1-0-0-0-b-n"
	req.Deadline = time.Now().Add(time.Hour)
	req.Hop = 2
	req.Header = http.Header{
		"X-Caller":             {"one", "two"},
		"Accept-Encoding":      {"br"},
		"Connection":           {"close, X-Hop"},
		"X-Hop":                {"gone"},
		"Transfer-Encoding":    {"gone"},
		"Te":                   {"gone"},
		"Idempotency-Key":      {"forged"},
		"Burdockspindle-Fence": {"99.9"},
		"burdockspindle-term":  {"99.9"},
	}
	req = withBody(req)
	got := do(t, open(t, longTimeouts()), target, req)
	g.Expect(got.failure).To(gomega.BeNil())
	g.Expect(server.seen()).To(gomega.HaveLen(1))
	seen := server.seen()[0]

	g.Expect(seen.method).To(gomega.Equal(http.MethodPut))
	g.Expect(seen.path).To(gomega.Equal("/serve/records/a%2Fb/x?y=%20z"))
	g.Expect(string(seen.body)).To(gomega.Equal("the body"))
	want := map[string]string{
		serverapi.HeaderServer:         string(target.ID),
		serverapi.HeaderService:        "licensing",
		serverapi.HeaderKey:            "schl%C3%BCssel%20100%25",
		serverapi.HeaderShard:          "licensing/4/schl%C3%BCssel%20100%25",
		serverapi.HeaderFence:          "7.1",
		serverapi.HeaderTerm:           "11.1",
		serverapi.HeaderIdempotencyKey: req.IdempotencyKey,
		serverapi.HeaderRequestID:      req.RequestID,
		serverapi.HeaderHop:            "2",
		"Accept-Encoding":              "br",
		"X-Hop":                        "",
		"Te":                           "",
		"User-Agent":                   "",
	}
	for name, value := range want {
		g.Expect(seen.header.Get(name)).To(gomega.Equal(value), name)
	}
	g.Expect(seen.header.Values("X-Caller")).To(gomega.Equal([]string{"one", "two"}))
	left, err := strconv.ParseInt(seen.header.Get(serverapi.HeaderDeadlineMs), 10, 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(left).To(gomega.BeNumerically(">", 0))
	g.Expect(left).To(gomega.BeNumerically("<=", time.Hour.Milliseconds()))
	key, err := serverapi.DecodeValue(seen.header.Get(serverapi.HeaderKey))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(key).To(gomega.Equal(req.Key))
}
