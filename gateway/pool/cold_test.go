package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// coldSite plays nodes that send requests to warm servers and to some that have just come back
// together, cold. It returns when each request reached a cold server, and the requests refused.
func coldSite(nodes int, warmUp func(node string) pool.RateLimits) (reached map[site.ServerID][]time.Time, refused int) {
	var servers []site.Server
	for i := range 12 {
		server := site.Server{ID: serverID(i), Slots: 3, Zone: "a"}
		if i < 4 {
			server.WarmUp = 3 * time.Second
		}
		servers = append(servers, server)
	}
	random := rand.New(rand.NewPCG(5, 5))
	pools := make([]*pool.Pool, nodes)
	for i := range pools {
		pools[i] = pool.New("a", 0, rand.New(rand.NewPCG(uint64(i), 1)))
		pools[i].SetRateLimits(warmUp(fmt.Sprint("node-", i)))
		pools[i].Update(servers, nodes, start)
	}
	type running struct {
		node   int
		server site.ServerID
		endAt  time.Time
	}
	var requests []running
	reached = map[site.ServerID][]time.Time{}
	const rate, serviceTime = 60, 200 * time.Millisecond
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(time.Second / rate) {
		send := func(node int, a pool.Admission) {
			requests = append(requests, running{node, a.Server.ID, now.Add(serviceTime)})
			if a.Server.IsCold() {
				reached[a.Server.ID] = append(reached[a.Server.ID], now)
			}
		}
		var left []running
		for _, r := range requests {
			if r.endAt.After(now) {
				left = append(left, r)
				continue
			}
			for _, a := range pools[r.node].Done(r.server, pool.Outcome{Took: serviceTime, Load: &site.Load{Running: 1, Slots: 3}}, now) {
				left = append(left, running{r.node, a.Server.ID, now.Add(serviceTime)})
			}
		}
		requests = left
		node := random.IntN(nodes)
		w := &pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
		admission, refusal := pools[node].Submit(w, now)
		switch {
		case admission != nil:
			send(node, *admission)
		case refusal != nil:
			refused++
		}
	}
	return reached, refused
}

func mostInASecond(times []time.Time) int {
	most := 0
	for i, first := range times {
		count := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// A third of the servers come back together, cold, and crash at more than a few requests a second.
// Each node by itself sends them too many. With one node that counts, they get no more than they
// tolerate, at any number of nodes, and nobody is refused.
func TestColdServersGetFewRequests(t *testing.T) {
	const tolerated = 2.9
	for _, nodes := range []int{8, 68, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var members []view.Member
			for i := range nodes {
				members = append(members, view.Member{Node: fmt.Sprint("node-", i), Zone: "a"})
			}
			counted, refused := coldSite(nodes, func(node string) pool.RateLimits {
				return pool.RateLimits{ColdRate: tolerated, IsCounter: func(server site.Server, _ int) bool {
					counter, _ := ratelimit.Counter(server, members)
					return counter.Node == node
				}}
			})
			for id, times := range counted {
				g.Expect(mostInASecond(times)).To(gomega.BeNumerically("<=", 5), string(id))
			}
			g.Expect(refused).To(gomega.BeZero())
			alone, _ := coldSite(nodes, func(string) pool.RateLimits { return pool.RateLimits{} })
			t.Logf("most in a second: %v, without a counter %v", mostOf(counted), mostOf(alone))
		})
	}
}

func mostOf(reached map[site.ServerID][]time.Time) int {
	most := 0
	for _, times := range reached {
		most = max(most, mostInASecond(times))
	}
	return most
}

// A server may turn cold at any moment, and be warm again.
func TestServerThatTurnsColdIsLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.SetRateLimits(pool.RateLimits{ColdRate: 2.9, IsCounter: func(site.Server, int) bool { return false }})
	server := site.Server{ID: "s", Slots: 3, Zone: "a"}
	submit := func(now time.Time, counted site.ServerID) bool {
		w := &pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(time.Second), CountedServer: counted}
		admission, _ := p.Submit(w, now)
		p.Remove(w)
		if admission != nil {
			p.Done("s", pool.Outcome{Took: 10 * time.Millisecond}, now)
		}
		return admission != nil
	}
	p.Update([]site.Server{server}, 1, start)
	g.Expect(submit(start, "")).To(gomega.BeTrue())
	server.WarmUp = 3 * time.Second
	p.Update([]site.Server{server}, 1, start)
	g.Expect(submit(start, "")).To(gomega.BeFalse())
	g.Expect(submit(start, "s")).To(gomega.BeTrue(), "forwarded to this node because it counts")
	g.Expect(submit(start.Add(3*time.Second), "")).To(gomega.BeTrue(), "the warm-up is over")
	server.WarmUp = 0
	p.Update([]site.Server{server}, 1, start.Add(time.Second))
	g.Expect(submit(start.Add(time.Second), "")).To(gomega.BeTrue(), "warm sooner than expected")
}
