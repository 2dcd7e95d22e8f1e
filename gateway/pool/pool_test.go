package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/replay"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// High load on servers of different speed: random selection overloads the slow half.
func TestServersOfDifferentSpeedUnderHighLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	pooled, blind := compare(t, replay.Load{Nodes: 8, Servers: eight(), Rate: steady(320), Length: 20 * time.Second, Target: 300 * time.Millisecond, CallerTimeout: 2 * time.Second})
	g.Expect(pooled.InTime).To(gomega.BeNumerically(">", pooled.Asked*97/100))
	g.Expect(pooled.InTime).To(gomega.BeNumerically(">", blind.InTime*11/10))
	g.Expect(pooled.Overflow).To(gomega.BeZero())
}

// Burst to one and a half times the capacity: served requests should be served in time, and
// the rest refused before their deadline.
func TestBurstBeyondCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	burst := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 9*time.Second {
			return 600
		}
		return 250
	}
	pooled, blind := compare(t, replay.Load{Nodes: 8, Servers: eight(), Rate: burst, Length: 15 * time.Second, Target: 300 * time.Millisecond, CallerTimeout: 2 * time.Second})
	g.Expect(pooled.InTime).To(gomega.BeNumerically(">", blind.InTime))
	g.Expect(pooled.Overflow).To(gomega.BeNumerically("<", blind.Overflow/4))
}

// Three of eight servers refuse half of their requests although they are running.
func TestSheddingServersAreAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := eight()
	for i := range 3 {
		servers[i].ShedShare = 0.5
	}
	l := replay.Load{Nodes: 8, Servers: servers, Rate: steady(150), Length: 15 * time.Second, Target: 300 * time.Millisecond, CallerTimeout: 2 * time.Second}
	pooled, blind := compare(t, l)
	g.Expect(pooled.InTime).To(gomega.BeNumerically(">", blind.InTime*115/100))
}

// Three of eight servers never answer half of their requests, although they are running. The
// node only observes that its callers leave, and those requests are lost.
func TestHangingServersAreAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := eight()
	for i := range 3 {
		servers[i].HangShare = 0.5
	}
	l := replay.Load{Nodes: 8, Servers: servers, Rate: steady(120), Length: 15 * time.Second, Target: 300 * time.Millisecond, CallerTimeout: 1500 * time.Millisecond}
	pooled, blind := compare(t, l)
	t.Logf("never answered: %d with the pool, %d at random", pooled.Hung, blind.Hung)
	g.Expect(pooled.Hung).To(gomega.BeNumerically("<", pooled.Asked*3/100))
	g.Expect(pooled.Hung).To(gomega.BeNumerically("<", blind.Hung/4))
}

// Servers of the own zone fail some requests, those of other zones none. Requests that must
// not run twice go to the other zones, because a failure loses them.
func TestAtMostOnceRequestsAvoidFailingServers(t *testing.T) {
	g := gomega.NewWithT(t)
	failures := func(once bool) int {
		random := rand.New(rand.NewPCG(3, 3))
		p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
		p.Update([]site.Server{{ID: "near", Slots: 8, Zone: "a"}, {ID: "far1", Slots: 8, Zone: "b"}, {ID: "far2", Slots: 8, Zone: "b"}}, 1, start)
		failed := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
			w := &pool.Waiter{ArrivedAt: now, Target: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond), AtMostOnce: once}
			admission, _ := p.Submit(w, now)
			fails := admission.Server.ID == "near" && random.Float64() < 0.3
			if fails {
				failed++
			}
			p.Done(admission.Server.ID, pool.Outcome{Took: 120 * time.Millisecond, Failed: fails}, now.Add(120*time.Millisecond))
		}
		return failed
	}
	t.Logf("failed of 400: %d if retries are allowed, %d if not", failures(false), failures(true))
	g.Expect(failures(true)).To(gomega.BeNumerically("<", 15))
	g.Expect(failures(true)).To(gomega.BeNumerically("<", failures(false)/2))
}

// The load of one key exceeds the capacity of its owner: the owner stays busy with requests
// that are answered in time, and the rest is refused at once.
func TestHotKeyExceedsOwnerCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := eight()[:1]
	pooled := run(replay.Load{Nodes: 8, Servers: servers, Rate: steady(100), Length: 15 * time.Second, Target: 300 * time.Millisecond, CallerTimeout: 1200 * time.Millisecond, OnlyFirst: true})
	t.Log(pooled)
	capacity := int(15 / 0.060 * 4)
	g.Expect(pooled.InTime).To(gomega.BeNumerically(">", capacity*60/100))
	g.Expect(pooled.Overflow).To(gomega.BeZero())
}

// A hot key at a site of many nodes: one request from each node already exceeds the owner's
// capacity, and every refusal costs a retry from a budget that all requests share.
func TestHotKeyRequestedByManyNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := []replay.Server{{Zone: "a", Slots: 6, Queue: 16, Work: 400 * time.Millisecond}}
	l := replay.Load{Nodes: 71, Servers: servers, Rate: steady(200), Length: 15 * time.Second, Target: 1200 * time.Millisecond, CallerTimeout: 3 * time.Second, OnlyFirst: true}
	pooled, blind := compare(t, l)
	capacity := int(15 / 0.4 * 6)
	g.Expect(pooled.InTime + pooled.Late).To(gomega.BeNumerically(">", capacity*90/100))
	g.Expect(pooled.InTime).To(gomega.BeNumerically(">", capacity*40/100))
	g.Expect(pooled.Overflow).To(gomega.BeNumerically("<", pooled.Asked/10))
	g.Expect(pooled.Overflow).To(gomega.BeNumerically("<", blind.Overflow/4))
}

// Servers are added to a lightly loaded site of many nodes, and are slow at first. Each node
// knows faster servers; the new ones must still get their share soon after they are warm.
func TestAddedServersReceiveRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	const nodes, perNode = 29, 70 * time.Millisecond
	var servers []site.Server
	for i := range 30 {
		servers = append(servers, site.Server{ID: serverID(i), Slots: 4, Zone: "a"})
	}
	var pools []*pool.Pool
	for i := range nodes {
		pools = append(pools, pool.New("a", 0, rand.New(rand.NewPCG(uint64(i), 1))))
		pools[i].Update(servers, nodes, start)
	}
	counts := map[site.ServerID]int{}
	ask := func(now time.Time) {
		for _, p := range pools {
			w := &pool.Waiter{ArrivedAt: now, Target: now.Add(800 * time.Millisecond), Deadline: now.Add(5 * time.Second)}
			admission, _ := p.Submit(w, now)
			counts[admission.Server.ID]++
			p.Done(admission.Server.ID, pool.Outcome{Took: 100 * time.Millisecond, Load: &site.Load{Running: 1, Slots: 4}}, now.Add(100*time.Millisecond))
		}
	}
	now := start
	for range 300 {
		now = now.Add(perNode)
		ask(now)
	}
	for i := 30; i < 70; i++ {
		servers = append(servers, site.Server{ID: serverID(i), Slots: 4, Zone: "a", WarmUp: 3 * time.Second})
	}
	for _, p := range pools {
		p.Update(servers, nodes, now)
	}
	warm := now.Add(3 * time.Second)
	for ; now.Before(warm.Add(3 * time.Second)); now = now.Add(perNode) {
		ask(now)
	}
	for i := 30; i < 70; i++ {
		g.Expect(counts[serverID(i)]).To(gomega.BeNumerically(">", 0), "%s", serverID(i))
	}
}

// A server that was slow for 5 s gets requests again after it has recovered.
func TestPreviouslySlowServerIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s1", Slots: 4, Zone: "a"}, {ID: "s2", Slots: 4, Zone: "a"}, {ID: "s3", Slots: 4, Zone: "a"}}, 8, start)
	got := 0
	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(100 * time.Millisecond) {
		w := &pool.Waiter{ArrivedAt: now, Target: now.Add(800 * time.Millisecond), Deadline: now.Add(5 * time.Second)}
		admission, _ := p.Submit(w, now)
		took := 100 * time.Millisecond
		if admission.Server.ID == "s1" {
			got++
			if now.Before(start.Add(5 * time.Second)) {
				took = 600 * time.Millisecond
			}
		}
		p.Done(admission.Server.ID, pool.Outcome{Took: took}, now.Add(took))
	}
	g.Expect(got).To(gomega.BeNumerically(">", 100), "requests of 600")
}

func TestOwnZoneIsPreferredWithinObjective(t *testing.T) {
	g := gomega.NewWithT(t)
	pooled := run(replay.Load{Nodes: 9, Servers: append(eight(), eight()[2]), Rate: steady(150), Length: 10 * time.Second, Target: 400 * time.Millisecond, CallerTimeout: 2 * time.Second})
	t.Log(pooled)
	g.Expect(pooled.CrossZone).To(gomega.BeNumerically("<", pooled.Asked/10))
	g.Expect(pooled.InTime).To(gomega.BeNumerically(">", pooled.Asked*97/100))
}

func TestDrainingAndUnreachableServersGetNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	servers := []site.Server{{ID: "s1", Slots: 4, Draining: true}, {ID: "s2", Slots: 4}}
	p.Update(servers, 1, start)
	ask := func(now time.Time) (*pool.Admission, *pool.Refusal) {
		return p.Submit(&pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(time.Second)}, now)
	}
	admission, _ := ask(start)
	g.Expect(admission.Server.ID).To(gomega.Equal(site.ServerID("s2")))
	p.Done("s2", pool.Outcome{Failed: true, NotReached: true}, start)
	_, refusal := ask(start)
	g.Expect(refusal.Reason).To(gomega.Equal(pool.NoServer))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	admission, _ = ask(start.Add(time.Second))
	g.Expect(admission.Server.ID).To(gomega.Equal(site.ServerID("s2")))
}

func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s1", Slots: 1}}, 8, start)
	waiter := func(priority int) *pool.Waiter {
		return &pool.Waiter{Priority: priority, ArrivedAt: start, Target: start.Add(time.Second), Deadline: start.Add(3 * time.Second)}
	}
	admission, _ := p.Submit(waiter(2), start)
	g.Expect(admission).NotTo(gomega.BeNil())
	usual, urgent := waiter(2), waiter(1)
	for _, w := range []*pool.Waiter{usual, urgent} {
		admission, refusal := p.Submit(w, start)
		g.Expect(admission).To(gomega.BeNil())
		g.Expect(refusal).To(gomega.BeNil())
	}
	admitted := p.Done("s1", pool.Outcome{Took: 10 * time.Millisecond}, start)
	g.Expect(admitted).To(gomega.HaveLen(1))
	g.Expect(admitted[0].Waiter).To(gomega.BeIdenticalTo(urgent))
}
