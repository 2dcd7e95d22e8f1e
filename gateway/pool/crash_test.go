package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/replay"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// crashLoopServers returns eight servers, one of which ends every two seconds and restarts
// after 300 ms.
func crashLoopServers() []replay.Server {
	servers := eight()
	for i := range servers {
		servers[i].Work = 90 * time.Millisecond
	}
	servers[0].CrashEvery = 2 * time.Second
	servers[0].DownTime = 300 * time.Millisecond
	return servers
}

// A server in a crash loop loses its requests in flight. A pool that treats each incarnation
// as an unknown server gives it full load each time.
func TestCrashLoopingServerGetsFewRequests(t *testing.T) {
	for _, rate := range []float64{100, 200, 260} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := replay.Load{Nodes: 8, Servers: crashLoopServers(), Rate: steady(rate), Length: 30 * time.Second, Target: 300 * time.Millisecond, CallerTimeout: 2 * time.Second}
			remembered := run(l)
			l.NewIDPerIncarnation = true
			renamed := run(l)
			t.Logf("known by name: %v, %d lost, %d not reached; each incarnation under a new name: %v, %d lost, %d not reached",
				remembered, remembered.Lost, remembered.NotReached, renamed, renamed.Lost, renamed.NotReached)
			g.Expect(remembered.Lost).To(gomega.BeNumerically("<", renamed.Lost*2/3))
			g.Expect(remembered.InTime).To(gomega.BeNumerically(">=", renamed.InTime))
		})
	}
}

// newRestartedPool returns a pool with a server that has restarted the given number of times,
// one second apart, and two other servers.
func newRestartedPool(restarts int) (*pool.Pool, site.ServerID, time.Time) {
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 2)))
	now := start
	var id site.ServerID
	for range restarts + 1 {
		now = now.Add(time.Second)
		id = site.IncarnationID("again", now)
		p.Update([]site.Server{{ID: id, Zone: "a", Slots: 4}, {ID: "steady", Zone: "a", Slots: 4}, {ID: "slow", Zone: "b", Slots: 4}}, 1, now)
	}
	return p, id, now
}

// countSlots counts the requests that a server is given at once.
func countSlots(p *pool.Pool, id site.ServerID, now time.Time) int {
	count := 0
	for ; count < 100; count++ {
		w := &pool.Waiter{OnlyServer: id, ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}
		if admission, _ := p.Submit(w, now); admission == nil {
			p.Remove(w)
			return count
		}
	}
	return count
}

func TestRestartedServerStartsWithSmallLimitThatGrowsWithResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	p, id, now := newRestartedPool(0)
	g.Expect(countSlots(p, id, now)).To(gomega.Equal(6), "initial limit of a new server")
	p, id, now = newRestartedPool(2)
	g.Expect(countSlots(p, id, now)).To(gomega.Equal(1))
	good := pool.Outcome{Took: 50 * time.Millisecond, Load: &site.Load{Running: 1, Slots: 4}}
	p.Done(id, good, now)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		if admission, _ := p.Submit(&pool.Waiter{OnlyServer: id, ArrivedAt: now, Target: now, Deadline: now.Add(time.Second)}, now); admission != nil {
			p.Done(id, good, now.Add(50*time.Millisecond))
		}
	}
	g.Expect(countSlots(p, id, now)).To(gomega.BeNumerically(">=", 4))
}

// A single restart, as in a rolling upgrade, has a short probation; more restarts have a
// longer one.
func TestProbationGrowsWithRestartCount(t *testing.T) {
	g := gomega.NewWithT(t)
	untried := func(times int, after time.Duration) int {
		p, id, now := newRestartedPool(times)
		now = now.Add(after)
		// The other servers are faster than the time assumed of a server without responses.
		p.Done("steady", pool.Outcome{Took: 10 * time.Millisecond}, now)
		p.Done("slow", pool.Outcome{Took: time.Second}, now)
		count := 0
		for range 40 {
			now = now.Add(20 * time.Millisecond)
			admission, _ := p.Submit(&pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}, now)
			g.Expect(admission).NotTo(gomega.BeNil())
			if admission.Server.ID == id {
				count++
			}
			p.Done(admission.Server.ID, pool.Outcome{Abandoned: true}, now)
		}
		return count
	}
	g.Expect(untried(0, 0)).To(gomega.BeNumerically(">", 0))
	g.Expect(untried(1, 0)).To(gomega.BeZero())
	g.Expect(untried(1, 3*time.Second)).To(gomega.BeNumerically(">", 0))
	g.Expect(untried(4, 3*time.Second)).To(gomega.BeZero())
	g.Expect(untried(4, time.Minute)).To(gomega.BeNumerically(">", 0))
}

// A new incarnation is not blocked because of what was observed of the previous one.
func TestNewIncarnationIsNotBlockedForPreviousOne(t *testing.T) {
	g := gomega.NewWithT(t)
	p, id, now := newRestartedPool(0)
	countSlots(p, id, now)
	p.Done(id, pool.Outcome{Failed: true, NotReached: true}, now)
	_, refusal := p.Submit(&pool.Waiter{OnlyServer: id, Deadline: now.Add(time.Minute)}, now)
	g.Expect(refusal).NotTo(gomega.BeNil())
	next := site.IncarnationID("again", now.Add(time.Hour))
	p.Update([]site.Server{{ID: next, Zone: "a", Slots: 4}, {ID: "steady", Zone: "a", Slots: 4}}, 1, now)
	g.Expect(countSlots(p, next, now)).To(gomega.Equal(1))
	_, refusal = p.Submit(&pool.Waiter{OnlyServer: id, Deadline: now.Add(time.Minute)}, now)
	g.Expect(refusal.Reason).To(gomega.Equal(pool.NoServer))
	p.Done(id, pool.Outcome{Failed: true}, now) // late outcome of the previous incarnation
	g.Expect(countSlots(p, next, now)).To(gomega.BeZero(), "it frees no slot at the new incarnation")
}

// When a whole service restarts, no other servers can take its requests.
func TestSimultaneousRestartPutsAtMostHalfOnProbation(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 2)))
	var ids []site.ServerID
	for at := range 2 {
		ids = nil
		var list []site.Server
		for i := range 8 {
			id := site.IncarnationID(site.ServerName(serverID(i)), start.Add(time.Duration(at)*time.Second))
			ids = append(ids, id)
			list = append(list, site.Server{ID: id, Zone: "a", Slots: 4})
		}
		p.Update(list, 1, start.Add(time.Duration(at)*time.Second))
	}
	free := 0
	for _, id := range ids {
		if countSlots(p, id, start.Add(time.Second)) == 6 {
			free++
		}
	}
	g.Expect(free).To(gomega.BeNumerically(">=", 4))
}
