package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

func fingerprintOfPath(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("", http.MethodGet, "h", path, nil)
}

// publishQuarantine makes a list the newest one.
func publishQuarantine(state *view.State, list quarantine.List) {
	state.MergeQuarantine(view.Quarantine{Offset: state.Now().Quarantine.Offset + 1, List: list})
}

func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newBackend(t, "i")
	r, state, _ := newCrashRouter(t, server.Server)
	publishQuarantine(state, quarantine.List{fingerprintOfPath("/x"): {Quarantined: true}, fingerprintOfPath("/y"): {}})
	answer := getPath(r, "/x?a=b")
	g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header()).NotTo(gomega.HaveKey("Retry-After"))
	g.Expect(server.received.Load()).To(gomega.BeZero())
	g.Expect(getPath(r, "/y").Code).To(gomega.Equal(http.StatusOK), "a suspected request is sent")
	g.Expect(getPath(r, "/z").Code).To(gomega.Equal(http.StatusOK))
	publishQuarantine(state, quarantine.List{})
	g.Expect(getPath(r, "/x").Code).To(gomega.Equal(http.StatusOK))
}

// Guards against a request that is not recognized because its caller returns from another
// address.
func TestRequestIsTheSameFromAnotherAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newBackend(t, "i")
	r, state, _ := newCrashRouter(t, server.Server)
	publishQuarantine(state, quarantine.List{fingerprintOfPath("/x"): {Quarantined: true}})
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		request.RemoteAddr = address
		r.ServeHTTP(answer, request)
		g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable), address)
	}
}

// Guards against a trial at every node, or with each return.
func TestTrialIsSentOnceByTheChosenNode(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newBackend(t, "i")
	r, state, _ := newCrashRouter(t, server.Server)
	r.node = "n"
	state.SetMembers([]view.Member{{Node: "m"}, {Node: "n"}})
	f := fingerprintOfPath("/x")
	sentAt := 0
	for trial := 1; trial <= 2; trial++ {
		publishQuarantine(state, quarantine.List{f: {Quarantined: true, Trial: trial}})
		for range 3 {
			getPath(r, "/x")
		}
		if chosen, _ := state.Now().Quarantine.List.TrialNode(f, 2); chosen == 1 {
			sentAt++
		}
	}
	g.Expect(sentAt).To(gomega.Equal(1), "two trials in a row are for different nodes")
	g.Expect(server.received.Load()).To(gomega.Equal(int32(1)))
}

// A node whose reports reach no lessor refuses the request after some servers. It reaches another one
// throughout: with all servers ended it would be partitioned as far as it knows.
func TestNodeQuarantinesByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	var servers []site.Server
	var backends []*backend
	for _, id := range strings.Split("abcdefgh", "") {
		b := newBackend(t, site.ServerID(id))
		b.dropsConnection = true
		b.onRequest = func() { _ = b.listener.Close() }
		servers = append(servers, b.Server)
		backends = append(backends, b)
	}
	live := newBackend(t, "live")
	live.Service = "other"
	r, _, _ := newCrashRouter(t, append(servers, live.Server)...)
	received := func() int {
		count := 0
		for _, b := range backends {
			count += int(b.received.Load())
		}
		return count
	}
	reason := func() string { return getPath(r, "/x").Body.String() }
	g.Eventually(reason, "10s", "200ms").Should(gomega.ContainSubstring(crashRefusal.reason))
	before := received()
	g.Expect(before).To(gomega.BeNumerically(">=", quarantine.OwnThreshold))
	for range 5 {
		g.Expect(reason()).To(gomega.ContainSubstring(crashRefusal.reason))
	}
	g.Expect(received()).To(gomega.Equal(before))
}
