package router_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	zoneB  = topo.Zone("zone-b")
	groupB = topo.GroupID("zone-b/0")
)

// TestOnlyUnreachableLessorIsBypassed: a request that bypassed one lessor goes
// through the lessor of the next owner, which is reachable, because only that lessor
// counts the next owner's requests.
func TestOnlyUnreachableLessorIsBypassed(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		var through atomic.Int64
		other := p.Start(p.t, "lessor-b")
		other.SetFault(func(w http.ResponseWriter, r *http.Request) {
			through.Add(1)
			other.ServePeer(w, r)
		})
		rt.AddServers(p.Site, rt.KeyedName, zoneB, "s3")
		p.Site.Lead(groupB, "lessor-b", rt.Boot)
		p.driver.Set("s1", rt.Decline(serverapi.OutcomeNotRun, serverapi.ReasonNotOwner))
		p.lessor.Kill()
		go func() {
			time.Sleep(50 * time.Millisecond)
			p.Site.AssignAll(rt.KeyedName, "s3")
		}()
		p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("answer of s3"))
		p.Expect(p.driver.Attempts()[0].Server).To(gomega.Equal(topo.ServerID("s1")), "the first lessor was bypassed")
		p.Expect(through.Load()).To(gomega.Equal(int64(1)))
	})
}

// TestManyNodesBypassLessorWithinLimit: the lessor becomes unreachable for far
// more entry nodes than the server has slots, and all of them have requests for
// the server.
func TestManyNodesBypassLessorWithinLimit(t *testing.T) {
	const nodes, limit = 24, 4
	limited := rt.Keyed()
	limited.ConcurrencyPerServer = limit
	for _, standby := range []topo.NodeID{"", "entry-3"} {
		withEntryNodes(t, nodes, []*siteconfig.Service{limited, rt.Unkeyed()}, func(p *pair) {
			p.Site.LeadWithStandby(groupA, "lessor", rt.Boot, standby)
			p.driver.Set("s1", rt.Delayed(5*time.Millisecond, rt.Answer(200, "ok")))
			p.lessor.Kill()
			var wait sync.WaitGroup
			for _, entry := range p.entry {
				for range 5 {
					wait.Go(func() {
						answer := entry.Handler.Serve(context.Background(), request("POST", "k"))
						p.Expect(text(p.WithT, answer)).To(gomega.Equal("ok"), string(answer.Reason))
					})
				}
			}
			wait.Wait()
			p.Expect(p.driver.Peak("s1")).To(gomega.Equal(limit), "standby "+string(standby))
			p.Expect(p.driver.Attempts()).To(gomega.HaveLen(5 * nodes))
		})
	}
}

// keptConnections bounds the number of connections to lost nodes that a node may have kept.
const keptConnections = 20

// TestLostDeputyIsReplaced: unreachable deputies are skipped. Only deputies may
// send, so that nothing reaches the server if none is reachable.
func TestLostDeputyIsReplaced(t *testing.T) {
	limited := rt.Keyed()
	limited.ConcurrencyPerServer = 4
	withEntryNodes(t, 12, []*siteconfig.Service{limited, rt.Unkeyed()}, func(p *pair) {
		p.Site.LeadWithStandby(groupA, "lessor", rt.Boot, "entry-3")
		p.lessor.Kill()
		p.entry[3].Kill()
		for _, entry := range p.entry {
			answer := entry.Handler.Serve(context.Background(), request("POST", "k"))
			p.Expect(text(p.WithT, answer)).To(gomega.Equal("answer of s1"), string(answer.Reason))
		}
		sent := len(p.driver.Attempts())
		for _, entry := range p.entry {
			entry.Kill()
		}
		refused := 0
		serve := func(entry *rt.Node) *exchange.Answer {
			req := request("POST", "k")
			req.Deadline = time.Now().Add(time.Second)
			return entry.Handler.Serve(context.Background(), req)
		}
		for _, entry := range p.entry {
			answer := serve(entry)
			if text(p.WithT, answer) != "" {
				continue // a deputy, which sends directly
			}
			for range keptConnections {
				if answer.Reason != callerapi.ReasonNoAnswer {
					break
				}
				answer = serve(entry) // the attempt revealed a broken idle connection
			}
			p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun), string(answer.Reason))
			refused++
		}
		p.Expect(refused).To(gomega.Equal(len(p.entry) - 3))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(sent + 3))
	})
}

// TestOnlyDeputyBypassesLessor: a node that is not a deputy in its own view
// refuses the request and never forwards it.
func TestOnlyDeputyBypassesLessor(t *testing.T) {
	limited := rt.Keyed()
	limited.ConcurrencyPerServer = 1
	withEntryNodes(t, 3, []*siteconfig.Service{limited, rt.Unkeyed()}, func(p *pair) {
		p.Site.LeadWithStandby(groupA, "lessor", rt.Boot, "entry-2")
		p.lessor.Kill()
		for i, entry := range p.entry {
			req := request("POST", "k")
			req.ForwardedBy, req.UnreachableLessor = "somebody", "lessor"
			req.Deadline = time.Now().Add(time.Second)
			answer := entry.Handler.Serve(context.Background(), req)
			if i == 2 {
				p.Expect(text(p.WithT, answer)).To(gomega.Equal("answer of s1"))
				continue
			}
			p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
			p.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonNotLessor))
		}
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))
	})
}
