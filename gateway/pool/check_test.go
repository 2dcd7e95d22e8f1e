package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// noisyServer is a server on a shared machine: for a fifth of the time, in periods of 400 ms, work
// takes three times as long.
type noisyServer struct {
	speed float64
	noise *rand.Rand
	slow  map[int]bool // by period
	ends  []time.Time  // of the requests that it has, oldest first
	free  [3]time.Time // when each slot is free
}

func (s *noisyServer) slowdown(now time.Time) float64 {
	period := int(now.Sub(start) / (400 * time.Millisecond))
	isSlow, known := s.slow[period]
	if !known {
		isSlow = s.noise.Float64() < 0.2
		s.slow[period] = isSlow
	}
	if isSlow {
		return 3
	}
	return 1
}

func (s *noisyServer) load(now time.Time) site.Load {
	present := 0
	for _, end := range s.ends {
		if end.After(now) {
			present++
		}
	}
	return site.Load{Running: min(present, 3), Waiting: max(present-3, 0), Slots: 3, Slowdown: s.slowdown(now)}
}

// run adds a request and returns when it ends.
func (s *noisyServer) run(work time.Duration, now time.Time) time.Time {
	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}
	begin := s.free[slot]
	if begin.Before(now) {
		begin = now
	}
	s.free[slot] = begin.Add(time.Duration(float64(work) * s.slowdown(begin) / s.speed))
	s.ends = append(s.ends, s.free[slot])
	return s.free[slot]
}

// lateOnNoisyServers plays 68 nodes, each of which hears of each of 48 servers once in ten seconds,
// and returns the share of requests that are answered after their target.
func lateOnNoisyServers(checks bool) float64 {
	const nodes, rate, work, target = 68, 290, 220 * time.Millisecond, 600 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 7))
	var registered []site.Server
	servers := map[site.ServerID]*noisyServer{}
	speeds := []float64{0.7, 0.7, 1.6}
	for i := range 48 {
		server := site.Server{ID: serverID(i), Slots: 3, Zone: "a"}
		registered = append(registered, server)
		servers[server.ID] = &noisyServer{speed: speeds[i%3], noise: rand.New(rand.NewPCG(uint64(i), 2)), slow: map[int]bool{}}
	}
	pools := make([]*pool.Pool, nodes)
	for i := range pools {
		pools[i] = pool.New("a", 0, rand.New(rand.NewPCG(uint64(i), 3)))
		pools[i].Update(registered, nodes, start)
	}
	type answer struct {
		node        int
		server      site.ServerID
		sentAt, end time.Time
	}
	var running []answer
	late, sent := 0, 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Second / rate) {
		var left []answer
		for _, a := range running {
			if a.end.After(now) {
				left = append(left, a)
				continue
			}
			load := servers[a.server].load(a.end)
			load.Running++
			pools[a.node].Done(a.server, pool.Outcome{Took: a.end.Sub(a.sentAt), Load: &load}, now)
		}
		running = left
		node := random.IntN(nodes)
		p := pools[node]
		w := &pool.Waiter{ArrivedAt: now, Target: now.Add(target), Deadline: now.Add(5 * time.Second)}
		if checks {
			for _, server := range p.ServersToCheck(w, true, now) {
				load := servers[server.ID].load(now)
				p.RecordCheck(server.ID, &load, 0, false, now)
				w.Checked = append(w.Checked, server.ID)
			}
		}
		admission, _ := p.Submit(w, now)
		sent++
		if admission == nil {
			p.Remove(w)
			late++
			continue
		}
		end := servers[admission.Server.ID].run(work, now)
		if end.Sub(now) > target {
			late++
		}
		running = append(running, answer{node, admission.Server.ID, now, end})
	}
	return float64(late) / float64(sent)
}

// What a node knows of a server is seconds old, and the machines' pace changes several times a
// second: one request in ten was late on a day when nothing happened.
func TestChecksOfTheLoadMakeFewerRequestsLateOnNoisyServers(t *testing.T) {
	g := gomega.NewWithT(t)
	without, with := lateOnNoisyServers(false), lateOnNoisyServers(true)
	t.Logf("late: %.3f without checks, %.3f with", without, with)
	g.Expect(with).To(gomega.BeNumerically("<", 0.7*without))
}

// Servers whose reports do not tell their pace may queue health checks like requests.
func TestServersWithoutAPaceAreNotChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Slots: 3, Zone: "a"}, {ID: "t", Slots: 3, Zone: "a"}}, 1, start)
	w := &pool.Waiter{ArrivedAt: start, Target: start.Add(time.Second), Deadline: start.Add(time.Second)}
	admission, _ := p.Submit(w, start)
	p.Done(admission.Server.ID, pool.Outcome{Took: time.Millisecond, Load: &site.Load{Running: 1, Slots: 3}}, start)
	g.Expect(p.ServersToCheck(w, true, start)).To(gomega.BeEmpty())
	p.RecordCheck("s", &site.Load{Slots: 3, Slowdown: 1}, 0, false, start)
	g.Expect(p.ServersToCheck(w, true, start)).To(gomega.HaveLen(2))
}

// Checks that wait at the servers like requests only delay them.
func TestChecksPauseWhenMostAreLate(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Slots: 3, Zone: "a"}}, 1, start)
	p.RecordCheck("s", &site.Load{Slots: 3, Slowdown: 1}, 0, false, start)
	for i := range 60 {
		p.RecordCheck("s", nil, 0, i%3 == 0, start) // a dark zone among three
	}
	g.Expect(p.ChecksLoads(start)).To(gomega.BeTrue())
	for range 60 {
		p.RecordCheck("s", nil, 0, true, start)
	}
	g.Expect(p.ChecksLoads(start)).To(gomega.BeFalse())
	g.Expect(p.ChecksLoads(start.Add(6 * time.Second))).To(gomega.BeTrue())
}

// A server may turn cold at any moment; its entry in the registry says so a second later.
func TestCheckTellsThatAServerIsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.SetRateLimits(pool.RateLimits{ColdRate: 2.9, IsCounter: func(site.Server, int) bool { return false }})
	p.Update([]site.Server{{ID: "s", Slots: 3, Zone: "a"}}, 1, start)
	p.RecordCheck("s", &site.Load{Slots: 3, Slowdown: 1}, 2*time.Second, false, start)
	g.Expect(p.IsLimitedCold("s", start.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(p.Counters("s", start.Add(time.Second))).To(gomega.Equal(1))
	g.Expect(p.IsLimitedCold("s", start.Add(2*time.Second))).To(gomega.BeFalse())
	g.Expect(p.Counters("s", start.Add(2*time.Second))).To(gomega.BeZero())
}
