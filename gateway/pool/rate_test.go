package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	limitedSpan = 4 * time.Second // in which a limit is judged
	// limitedOvershoot times what the limit allows, and limitedSlack requests more, may arrive in a span.
	limitedOvershoot = 1.5
	limitedSlack     = 5
)

// limitedSite is nodes that send requests to servers, some of which name limits that all nodes know of.
type limitedSite struct {
	nodes   int
	servers []site.Server
	limits  map[site.ServerID]float64
	// isCounter reports whether a node is one of those that count for a server at a time.
	isCounter func(node int, server site.Server, count int, now time.Time) bool
	reached   map[site.ServerID][]time.Time
	refused   map[pool.Reason]int
	served    int
}

func newLimitedSite(nodes, servers int, limits map[site.ServerID]float64) *limitedSite {
	s := &limitedSite{nodes: nodes, limits: limits, reached: map[site.ServerID][]time.Time{}, refused: map[pool.Reason]int{}}
	var members []view.Member
	for i := range nodes {
		members = append(members, view.Member{Node: fmt.Sprint("node-", i), Zone: "a"})
	}
	for i := range servers {
		s.servers = append(s.servers, site.Server{ID: serverID(i), Slots: 4, Zone: "a"})
	}
	counters := map[site.ServerID][]int{} // nodes in their order for a server
	for _, server := range s.servers {
		for _, m := range ratelimit.Counters(server, members, nodes) {
			counters[server.ID] = append(counters[server.ID], slices.Index(members, m))
		}
	}
	s.isCounter = func(node int, server site.Server, count int, _ time.Time) bool {
		return slices.Contains(counters[server.ID][:min(count, nodes)], node)
	}
	return s
}

// rateLimits returns the limits as a node knows them. The answers that confirm them are a second old.
func (s *limitedSite) rateLimits(node int, now time.Time) pool.RateLimits {
	return pool.RateLimits{
		Named: func(id site.ServerID) (site.NamedLimit, bool) {
			rate, isNamed := s.limits[id]
			return site.NamedLimit{Rate: rate, IsNamed: isNamed, At: now.Add(-time.Second)}, isNamed
		},
		IsCounter: func(server site.Server, count int) bool { return s.isCounter(node, server, count, now) },
	}
}

// play sends requests at a rate to random nodes. A request that only another node may send is handed to
// that node, as the router does.
func (s *limitedSite) play(length time.Duration, rate int, change func(now time.Time) bool) {
	type running struct {
		node   int
		server site.ServerID
		endAt  time.Time
	}
	const serviceTime = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(5, 5))
	pools := make([]*pool.Pool, s.nodes)
	for i := range pools {
		pools[i] = pool.New("a", 0, rand.New(rand.NewPCG(uint64(i), 1)))
		pools[i].SetRateLimits(s.rateLimits(i, start))
		pools[i].Update(s.servers, s.nodes, start)
	}
	var requests []running
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Second / time.Duration(rate)) {
		if change != nil && change(now) {
			for i, p := range pools {
				p.SetRateLimits(s.rateLimits(i, now))
				p.ApplyRateLimits(now)
			}
		}
		send := func(node int, a pool.Admission) {
			requests = append(requests, running{node, a.Server.ID, now.Add(serviceTime)})
			s.reached[a.Server.ID] = append(s.reached[a.Server.ID], now)
		}
		ended := requests
		requests = nil
		for _, r := range ended {
			if r.endAt.After(now) {
				requests = append(requests, r)
				continue
			}
			s.served++
			for _, a := range pools[r.node].Done(r.server, pool.Outcome{Took: serviceTime, Load: &site.Load{Running: 1, Slots: 4}}, now) {
				send(r.node, a)
			}
		}
		for i, p := range pools { // as the router does by a timer
			if at, waits := p.NextAdmitTime(now.Add(-time.Second / time.Duration(rate))); waits && !at.After(now) {
				for _, a := range p.Admit(now) {
					send(i, a)
				}
				p.Evict(now)
			}
		}
		node := random.IntN(s.nodes)
		w := &pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
		admission, refusal := pools[node].Submit(w, now)
		if refusal != nil && refusal.Reason == pool.Limited {
			var counters []int
			for other := range pools {
				if s.isCounter(other, site.Server{ID: refusal.CountedServer, Zone: "a"}, pools[node].Counters(refusal.CountedServer, now), now) {
					counters = append(counters, other)
				}
			}
			node = counters[random.IntN(len(counters))]
			w.CountedServer = refusal.CountedServer
			admission, refusal = pools[node].Submit(w, now)
		}
		switch {
		case admission != nil:
			send(node, *admission)
		case refusal != nil:
			s.refused[refusal.Reason]++
		}
	}
}

// most returns the most requests that reached a server in a span.
func (s *limitedSite) most(id site.ServerID) int {
	most, first := 0, 0
	times := s.reached[id]
	for i, at := range times {
		for at.Sub(times[first]) > limitedSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(limit float64) float64 {
	return limitedOvershoot*limitedSpan.Seconds()*limit + limitedSlack
}

// Guards against a limit that each node keeps by itself, so that all together exceed it, and against
// servers that are left idle because they name one.
func TestLimitsThatServersNameHoldForAllNodesTogether(t *testing.T) {
	limits := map[site.ServerID]float64{serverID(0): 0, serverID(1): 1.1, serverID(2): 13.8, serverID(3): 100, serverID(4): 400}
	for _, nodes := range []int{1, 8, 68, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newLimitedSite(nodes, 12, limits)
			s.play(8*time.Second, 300, nil)
			for id, limit := range limits {
				g.Expect(s.most(id)).To(gomega.BeNumerically("<=", allowed(limit)), "%s, limit %g", id, limit)
			}
			g.Expect(s.refused).To(gomega.BeEmpty(), "the other servers have room")
		})
	}
}

// All servers of a service name limits: what they take together is served, and the rest refused.
func TestServersThatAllNameLimitsAreUsed(t *testing.T) {
	limits := map[site.ServerID]float64{serverID(0): 2, serverID(1): 3, serverID(2): 5}
	for _, nodes := range []int{1, 8, 68, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newLimitedSite(nodes, 3, limits)
			s.play(10*time.Second, 100, nil)
			for id, limit := range limits {
				g.Expect(s.most(id)).To(gomega.BeNumerically("<=", allowed(limit)), "%s, limit %g", id, limit)
			}
			g.Expect(s.served).To(gomega.BeNumerically(">", 10*10*8/10), "of 100 that they take")
			g.Expect(s.refused[pool.WaitTooLong]).To(gomega.BeNumerically(">", 500))
		})
	}
}

// A limit falls while requests wait, and the list of members changes, so that two nodes count for a while.
func TestLimitHoldsWhenItFallsAndItsCounterChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := map[site.ServerID]float64{serverID(0): 50, serverID(1): 50}
	s := newLimitedSite(8, 2, limits)
	fellAt, changedAt := start.Add(4*time.Second), start.Add(9*time.Second)
	s.isCounter = func(node int, _ site.Server, _ int, now time.Time) bool {
		isBoth := !now.Before(changedAt) && now.Before(changedAt.Add(time.Second))
		return node == 3 && now.Before(changedAt) || node == 5 && !now.Before(changedAt) || isBoth && node == 3
	}
	states := 0
	s.play(16*time.Second, 300, func(now time.Time) bool {
		passed := 0
		for _, at := range []time.Time{fellAt, changedAt, changedAt.Add(time.Second)} {
			if !now.Before(at) {
				passed++
			}
		}
		isNew := passed > states
		states = passed
		if passed > 0 {
			limits[serverID(0)], limits[serverID(1)] = 1, 1
		}
		return isNew
	})
	for id := range limits {
		var later []time.Time
		for _, at := range s.reached[id] {
			if !at.Before(fellAt) {
				later = append(later, at)
			}
		}
		s.reached[id] = later
		g.Expect(s.most(id)).To(gomega.BeNumerically("<=", allowed(1)), string(id))
	}
}

// A request that waits is refused as soon as all its servers have limits that another node counts.
func TestWaitingRequestsLeaveWhenAnotherNodeCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := map[site.ServerID]float64{}
	s := newLimitedSite(8, 1, limits)
	s.isCounter = func(int, site.Server, int, time.Time) bool { return false }
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update(s.servers, 8, start)
	for range 20 {
		w := &pool.Waiter{ArrivedAt: start, Target: start.Add(time.Second), Deadline: start.Add(10 * time.Second)}
		_, refusal := p.Submit(w, start)
		g.Expect(refusal).To(gomega.BeNil())
	}
	limits[serverID(0)] = 1
	p.SetRateLimits(s.rateLimits(0, start))
	p.ApplyRateLimits(start)
	evicted := p.Evict(start)
	g.Expect(len(evicted)).To(gomega.BeNumerically(">", 10))
	for _, e := range evicted {
		g.Expect(e.Refusal.Reason).To(gomega.Equal(pool.Limited))
		g.Expect(e.Refusal.CountedServer).To(gomega.Equal(serverID(0)))
		g.Expect(e.Refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	}
}

// The node that counts sends a request now and then, which shows whether a limit still stands.
func TestLimitOfZeroIsConfirmedByFewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := map[site.ServerID]float64{serverID(0): 0}
	s := newLimitedSite(8, 4, limits)
	confirmedAt := start
	seen := 0
	s.play(30*time.Second, 100, func(now time.Time) bool {
		if n := len(s.reached[serverID(0)]); n > seen {
			seen, confirmedAt = n, now
		}
		g.Expect(now.Sub(confirmedAt)).To(gomega.BeNumerically("<", 12*time.Second), "before the limit is no longer believed")
		return false
	})
	g.Expect(seen).To(gomega.BeNumerically(">=", 3))
	g.Expect(s.most(serverID(0))).To(gomega.BeNumerically("<=", allowed(0)))
}

// Guards against nodes that spend their processor on waiting requests: each end of a request compared all
// of them with all servers, to find limits that no server had.
func TestWaitingRequestsAreNotComparedWithAllServers(t *testing.T) {
	g := gomega.NewWithT(t)
	const servers, waiting = 300, 200
	s := newLimitedSite(8, servers, nil)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.SetRateLimits(s.rateLimits(0, start))
	p.Update(s.servers, 8, start)
	compared := 0
	for i := range waiting {
		w := &pool.Waiter{ArrivedAt: start, Target: start.Add(time.Second), Deadline: start.Add(10 * time.Second), OnlyServer: serverID(99 - i%4)} // the last in the order of names
		w.MayRunIn = func(string) bool {
			compared++
			return true
		}
		p.Submit(w, start)
	}
	compared = 0
	p.Evict(start)
	g.Expect(compared).To(gomega.BeNumerically("<=", 4*waiting))
	g.Expect(testing.AllocsPerRun(10, func() { p.NextAdmitTime(start) })).To(gomega.BeNumerically("<", 1))
}

// A node that begins to count for a server that nobody uses sends the first request at once.
func TestUnusedBudgetIsKeptWhenAnotherNodeBeginsToCount(t *testing.T) {
	for name, row := range map[string]struct {
		unused time.Duration
		waits  bool
	}{
		"used a moment ago":                    {time.Second, true},
		"unused for a while":                   {10 * time.Second, false},
		"used as long ago as others notice it": {limitedSpan, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			isCounter := false
			p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
			p.SetRateLimits(pool.RateLimits{
				Named: func(site.ServerID) (site.NamedLimit, bool) {
					return site.NamedLimit{Rate: 1, IsNamed: true, At: start.Add(-row.unused)}, true
				},
				IsCounter: func(site.Server, int) bool { return isCounter },
			})
			p.Update([]site.Server{{ID: serverID(0), Slots: 4, Zone: "a"}}, 8, start)
			isCounter = true
			p.ApplyRateLimits(start)
			w := &pool.Waiter{ArrivedAt: start, Target: start.Add(2 * time.Second), Deadline: start.Add(4 * time.Second)}
			admission, refusal := p.Submit(w, start)
			g.Expect(refusal).To(gomega.BeNil())
			g.Expect(admission == nil).To(gomega.Equal(row.waits))
			if row.waits {
				at, found := p.NextAdmitTime(start)
				g.Expect(found).To(gomega.BeTrue())
				g.Expect(at).To(gomega.Equal(start.Add(time.Second)), "one request a second")
			}
		})
	}
}

// Guards against a server that nobody sends requests to, because the nodes that count them do not reach it: from
// then on each node sends its part of the limit.
func TestNodesSendTheirPartOfALimitThatNobodyConfirms(t *testing.T) {
	const nodes, rate = 8, 2.0
	g := gomega.NewWithT(t)
	answeredAt := start
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.SetRateLimits(pool.RateLimits{
		Named: func(site.ServerID) (site.NamedLimit, bool) {
			return site.NamedLimit{Rate: rate, IsNamed: true, At: answeredAt}, true
		},
		IsCounter: func(site.Server, int) bool { return false },
	})
	p.Update([]site.Server{{ID: serverID(0), Slots: 4, Zone: "a"}}, nodes, start)
	sent := func(now time.Time, length time.Duration) (count int, first time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
			w := &pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
			admission, refusal := p.Submit(w, now)
			if admission == nil && refusal == nil {
				p.Remove(w)
			}
			if admission != nil {
				if count++; count == 1 {
					first = now.Sub(start)
				}
				p.Done(admission.Server.ID, pool.Outcome{Took: time.Millisecond}, now)
			}
		}
		return count, first
	}
	count, first := sent(start, time.Minute)
	g.Expect(first).To(gomega.BeNumerically(">=", 15*time.Second), "others may reach it")
	g.Expect(count).To(gomega.BeNumerically("~", rate/nodes*45, 2))
	answeredAt = start.Add(time.Minute)
	p.ApplyRateLimits(answeredAt)
	count, _ = sent(answeredAt, 14*time.Second)
	g.Expect(count).To(gomega.BeZero(), "one that counts has reached it")
}
