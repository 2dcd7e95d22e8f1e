package router_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// TestUnreachableLessorIsBypassed: where servers check fences, the entry node
// sends directly, one request at a time.
func TestUnreachableLessorIsBypassed(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		p.driver.Set("s1", rt.Delayed(time.Millisecond, rt.Answer(200, "direct")))
		p.lessor.Kill()
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("direct"))
			})
		}
		wait.Wait()
		p.Expect(p.driver.Peak("s1")).To(gomega.Equal(1))
	})
}

// TestUnfencedServiceDoesNotBypassLessor checks that an unreachable lessor is
// not bypassed where servers do not check fences, because only the lessor may
// send. The caller is answered immediately.
func TestUnfencedServiceDoesNotBypassLessor(t *testing.T) {
	unfenced := rt.Keyed()
	unfenced.ChecksFencing = false
	withEntryNodes(t, 1, []*siteconfig.Service{unfenced, rt.Unkeyed()}, func(p *pair) {
		p.lessor.Kill()
		start := time.Now()
		req := request("POST", "k")
		req.Deadline = start.Add(time.Second)
		answer := p.serve(req)
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		p.Expect(answer.RetryAfter).To(gomega.BeNumerically(">", 0))
		p.Expect(time.Since(start)).To(gomega.BeNumerically("<", 50*time.Millisecond))
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
	})
}

// TestUnresponsiveLessorIsReported: the lessor's node accepts the request and then
// sends nothing. A request that may have run is not sent again.
func TestUnresponsiveLessorIsReported(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		p.lessor.SetFault(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		answer := p.serve(request("POST", "k"))
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		p.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonUnresponsive))
		p.Expect(answer.Status).To(gomega.Equal(504))
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
	})
}

// TestSlowServerDoesNotMakeLessorUnresponsive: the lessor's node sends
// keep-alives while the server works on a request.
func TestSlowServerDoesNotMakeLessorUnresponsive(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		p.driver.Set("s1", rt.Delayed(2*time.Second, rt.Answer(200, "late but whole")))
		p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("late but whole"))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))
	})
}

// TestFailingLessorIsBypassed: after a few interrupted answers, requests are
// sent directly while the lessor's node is ejected.
func TestFailingLessorIsBypassed(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		p.lessor.SetFault(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		unknown := 0
		p.Eventually(func() serverapi.Outcome {
			answer := p.serve(request("POST", "k"))
			if answer.Outcome == serverapi.OutcomeUnknown {
				unknown++
			}
			text(p.WithT, answer)
			return answer.Outcome
		}, 10*time.Second).Should(gomega.Equal(serverapi.OutcomeAnswered))
		p.Expect(unknown).To(gomega.Equal(3))
	})
}

// TestStalledConnectionsAreClosed: the open connections to the lessor's node stall
// permanently and new ones work. Only one request is affected by the stall.
func TestStalledConnectionsAreClosed(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		var old sync.Map
		p.lessor.SetFault(func(w http.ResponseWriter, r *http.Request) {
			old.Store(r.RemoteAddr, true)
			p.lessor.ServePeer(w, r)
		})
		p.driver.Set("s1", rt.Delayed(50*time.Millisecond, rt.Answer(200, "ok")))
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() { text(p.WithT, p.serve(request("GET", "k"))) })
		}
		wait.Wait()
		p.lessor.SetFault(func(w http.ResponseWriter, r *http.Request) {
			if _, stalled := old.Load(r.RemoteAddr); stalled {
				<-r.Context().Done()
				return
			}
			p.lessor.ServePeer(w, r)
		})
		answer := p.serve(request("POST", "k"))
		p.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonUnresponsive))
		for range 4 {
			p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("ok"))
		}
	})
}

func TestInvalidForwardAnswersAreRejected(t *testing.T) {
	rows := map[string]http.HandlerFunc{
		"not a node":    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) },
		"error page":    func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadGateway) },
		"other request": foreignForward,
		"cut off":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, fault := range rows {
		withEntryNodes(t, 1, bothServices(), func(p *pair) {
			p.lessor.SetFault(fault)
			answer := p.serve(request("POST", "k"))
			p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown), name)
			p.Expect(answer.Status).To(gomega.Equal(502), name)
			p.Expect(answer.Body).To(gomega.BeNil(), name)
		})
	}
}

func foreignForward(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Burdockspindle-Forward", `{"format":1,"id":"other","status":200,"outcome":"answered","hasBody":true}`)
	_, _ = w.Write([]byte("somebody else's"))
}

// TestForwardedRequestsAreNotForwardedAgain: two nodes whose states each name the
// other as the lessor refuse the request instead of forwarding it in a loop.
func TestForwardedRequestsAreNotForwardedAgain(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		behind := routetest.New() // older state of the lessor's node
		behind.Configure(bothServices()...)
		entry := p.entry[0]
		stale := (&rt.World{Site: behind, Driver: p.driver, Network: p.Network}).Start(p.t, "lessor")
		behind.Join("entry-0", rt.Boot, entry.PeerAddress())
		rt.AddServers(behind, rt.KeyedName, zoneA, "s1", "s2")
		behind.Lead(groupA, "entry-0", rt.Boot)
		behind.AssignAll(rt.KeyedName, "s1")
		p.Site.Join("lessor", rt.Boot, stale.PeerAddress())
		var back atomic.Int64
		entry.SetFault(func(w http.ResponseWriter, _ *http.Request) {
			back.Add(1)
			http.Error(w, "came back", http.StatusLoopDetected)
		})
		req := request("POST", "k")
		req.Deadline = time.Now().Add(300 * time.Millisecond)
		answer := p.serve(req)
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
		p.Expect(back.Load()).To(gomega.BeZero())
	})
}

// TestForwardWaitsForTheSendersState: a lessor whose state is behind catches up
// before it decides.
func TestForwardWaitsForTheSendersState(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		behind := routetest.New() // does not contain the service yet
		slow := (&rt.World{Site: behind, Driver: p.driver, Network: p.Network}).Start(p.t, "lessor")
		p.Site.Join("lessor", rt.Boot, slow.PeerAddress())
		arrived := make(chan struct{})
		var once sync.Once
		slow.SetFault(func(w http.ResponseWriter, r *http.Request) {
			once.Do(func() { close(arrived) })
			slow.ServePeer(w, r)
		})
		go func() {
			<-arrived
			time.Sleep(50 * time.Millisecond)
			behind.Configure(bothServices()...)
			behind.Join("entry-0", rt.Boot, "127.0.0.1:9")
			rt.AddServers(behind, rt.KeyedName, zoneA, "s1", "s2")
			behind.Lead(groupA, "lessor", rt.Boot)
			behind.AssignAll(rt.KeyedName, "s1")
			for behind.View().Applied() < p.Site.View().Applied() {
				behind.Configure(bothServices()...)
			}
		}()
		p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("answer of s1"))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))
	})
}
