package router_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// TestConcurrencyLimitHolds sends far more concurrent requests than the server's
// limit.
func TestConcurrencyLimitHolds(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Delayed(20*time.Millisecond, rt.Answer(200, "ok")))
		for range 5 { // warms the server up and measures its service time
			text(g, node.Handler.Serve(context.Background(), request("GET", "well-7")))
			time.Sleep(time.Second)
		}
		var wait sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[serverapi.Outcome]int{}
		for i := range 400 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 2500 * time.Microsecond)
				req := request("POST", fmt.Sprint("well-", i))
				req.Deadline = time.Now().Add(300 * time.Millisecond)
				answer := node.Handler.Serve(context.Background(), req)
				text(g, answer)
				mu.Lock()
				outcomes[answer.Outcome]++
				mu.Unlock()
			})
		}
		wait.Wait()
		g.Expect(driver.Peak("s1")).To(gomega.Equal(4))
		g.Expect(outcomes[serverapi.OutcomeUnknown]).To(gomega.BeZero(), "requests that cannot meet their deadline are refused before they are sent")
		g.Expect(outcomes[serverapi.OutcomeNotRun]).To(gomega.BeNumerically(">", 50), "the load is twice what the server can do")
		g.Expect(outcomes[serverapi.OutcomeAnswered]).To(gomega.BeNumerically(">=", 200), "the server is kept busy")
	})
}

// TestDependantsAreShedFirst: records depends on quotes. While quotes refuses
// calls made by requests to records, a share of the requests to records is
// refused immediately.
func TestDependantsAreShedFirst(t *testing.T) {
	dependant := rt.Keyed()
	dependant.DependsOn = []topo.Service{rt.UnkeyedName}
	withSingleNode(t, []*siteconfig.Service{dependant, rt.Unkeyed()}, func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		for _, id := range []topo.ServerID{"u1", "u2", "u3"} {
			driver.Set(id, rt.Decline("not-run", serverapi.ReasonOverloaded))
		}
		for range 60 {
			text(g, node.Handler.Serve(context.Background(), request("POST", "well-7")))
			call := unkeyed("POST")
			call.Hop = 1
			node.Handler.Serve(context.Background(), call)
		}
		shed := 0
		for range 200 {
			answer := node.Handler.Serve(context.Background(), request("POST", "well-7"))
			if answer.Reason == callerapi.ReasonDependency {
				shed++
				g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
				g.Expect(answer.RetryAfter).To(gomega.BeNumerically(">=", time.Second))
				continue
			}
			text(g, answer)
		}
		g.Expect(shed).To(gomega.BeNumerically(">", 140))
		g.Expect(shed).To(gomega.BeNumerically("<", 200), "some requests are admitted, so that a recovery is detected")
	})
}

// TestStalledServerShedsItsQueue: the server stops answering, and waiting requests
// are refused long before their deadline.
func TestStalledServerShedsItsQueue(t *testing.T) {
	service := rt.Keyed()
	service.ConcurrencyPerServer = 1
	withSingleNode(t, []*siteconfig.Service{service, rt.Unkeyed()}, func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Delayed(10*time.Millisecond, rt.Answer(200, "ok")))
		for range 8 {
			text(g, node.Handler.Serve(context.Background(), request("GET", "k")))
		}
		driver.Set("s1", rt.Hanging)
		go node.Handler.Serve(context.Background(), request("POST", "k"))
		synctest.Wait()
		start := time.Now()
		waiting := request("POST", "k")
		waiting.Deadline = start.Add(2 * time.Second)
		answer := node.Handler.Serve(context.Background(), waiting)
		g.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonTooLate))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("~", time.Second, 100*time.Millisecond))
		time.Sleep(time.Minute) // the hanging request's deadline
	})
}

// TestNewAdmissionPointStartsWithOneRequest: requests of the previous
// admission point may still be in flight at the server.
func TestNewAdmissionPointStartsWithOneRequest(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, site *routetest.Site, _ *rt.Driver, node *rt.Node) {
		text(g, node.Handler.Serve(context.Background(), request("GET", "k")))
		time.Sleep(2 * time.Second)
		g.Expect(node.Router.ServerStats()[0].Limit).To(gomega.Equal(4))
		site.Lead(groupA, "node-1", rt.Boot)
		synctest.Wait()
		g.Expect(node.Router.ServerStats()[0].Limit).To(gomega.Equal(1))
	})
}
