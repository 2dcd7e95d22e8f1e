package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// newQueuedPool returns a pool of twelve servers without capacity, with the given number of
// requests waiting, each for one of the servers, and the time.
func newQueuedPool(b *testing.B, waiting int) (*Pool, time.Time) {
	b.Helper()
	now := time.Unix(1000, 0)
	p := New("a", 0, rand.New(rand.NewPCG(1, 1)))
	var servers []site.Server
	for i := range 12 {
		servers = append(servers, site.Server{ID: site.ServerID(fmt.Sprint("s", i)), Service: "s", Zone: "b", Slots: 4})
	}
	p.Update(servers, 12, now)
	for i := range waiting {
		only := servers[i%len(servers)].ID
		w := &Waiter{Priority: 1, ArrivedAt: now, Target: now.Add(time.Minute), Deadline: now.Add(time.Hour), OnlyServer: only}
		if _, refusal := p.Submit(w, now); refusal != nil {
			b.Fatal(refusal)
		}
	}
	return p, now
}

// BenchmarkDone measures the cost of the end of a request while others wait.
func BenchmarkDone(b *testing.B) {
	for _, waiting := range []int{20, 100, 400} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			p, now := newQueuedPool(b, waiting)
			for b.Loop() {
				m := p.order[0]
				w := &Waiter{Priority: 1, ArrivedAt: now, Target: now.Add(time.Minute), Deadline: now.Add(time.Hour), OnlyServer: m.ID}
				for _, a := range p.Done(m.ID, Outcome{Took: 100 * time.Millisecond}, now) {
					_, _ = p.Submit(w, now)
					_ = a
				}
				p.Evict(now)
			}
		})
	}
}

// BenchmarkSubmit measures the choice of one of many servers, with guidance and without.
func BenchmarkSubmit(b *testing.B) {
	for _, isGuided := range []bool{false, true} {
		b.Run(fmt.Sprint("guided=", isGuided), func(b *testing.B) {
			now := time.Now()
			p := New("a", 0, rand.New(rand.NewPCG(1, 1)))
			var servers []site.Server
			g := testGuidance(map[site.ServerID]float64{})
			for i := range 348 {
				id := site.ServerID(fmt.Sprint("s", i))
				servers = append(servers, site.Server{ID: id, Zone: "abc"[i%3 : i%3+1], Slots: 4})
				g.Speeds[id] = 0.7 + float64(i%3)*0.4
			}
			p.Update(servers, 87, now)
			if isGuided {
				p.SetGuidance("s", g, now)
			}
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				w := &Waiter{Route: "short", ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(time.Second)}
				if a, _ := p.Submit(w, now); a != nil {
					p.Done(a.Server.ID, Outcome{Route: "short", Took: 100 * time.Millisecond, Load: &site.Load{Running: 2, Slots: 4}}, now)
				}
			}
		})
	}
}
