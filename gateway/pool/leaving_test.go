package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guards against requests that wait in vain for a server that leaves: they are refused at once, those for its
// keys when it may get no more of them, and those that another server may run stay.
func TestWaitersForLeavingServersAreRefused(t *testing.T) {
	leaveBy := start.Add(2 * time.Second)
	for name, row := range map[string]struct {
		onlyServer site.ServerID
		leaving    []bool
		at         time.Duration
		evicted    int
	}{
		"one of two servers leaves":            {"", []bool{true, false}, 0, 0},
		"all servers leave":                    {"", []bool{true, true}, 0, 2},
		"the owner leaves and still may serve": {"s0", []bool{true, false}, 0, 0},
		"the owner has left":                   {"s0", []bool{true, false}, 2 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
			servers := []site.Server{{ID: "s0", Service: "s", Zone: "a", Slots: 1}, {ID: "s1", Service: "s", Zone: "a", Slots: 1}}
			p.Update(servers, 12, start)
			admitted := 0
			for range 2 + len(servers) {
				w := &pool.Waiter{ArrivedAt: start, Target: start.Add(time.Minute), Deadline: start.Add(time.Minute), OnlyServer: row.onlyServer}
				admission, refusal := p.Submit(w, start)
				g.Expect(refusal).To(gomega.BeNil())
				if admission != nil {
					admitted++
				}
			}
			g.Expect(admitted).To(gomega.BeNumerically(">=", 1))
			waiting := 2 + len(servers) - admitted
			for i := range servers {
				if row.leaving[i] {
					servers[i].LeaveBy = leaveBy
				}
			}
			p.Update(servers, 12, start)
			if row.onlyServer != "" && row.at == 0 {
				at, waits := p.NextAdmitTime(start)
				g.Expect(waits).To(gomega.BeTrue())
				g.Expect(at).To(gomega.BeTemporally("<=", leaveBy), "the requests are examined when it may get no more")
			}
			evictions := p.Evict(start.Add(row.at))
			if row.evicted == 0 {
				g.Expect(evictions).To(gomega.BeEmpty())
				return
			}
			g.Expect(evictions).To(gomega.HaveLen(waiting))
			for _, e := range evictions {
				g.Expect(e.Refusal.Reason).To(gomega.Equal(pool.NoServer))
				g.Expect(e.Refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
			}
		})
	}
}

// Guards against callers that return into a certain refusal: while all servers leave, others that register are
// known after about a second.
func TestCallersReturnLaterWhileAllServersLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Service: "s", Zone: "a", Slots: 1, LeaveBy: start.Add(time.Second)}}, 12, start)
	_, refusal := p.Submit(&pool.Waiter{ArrivedAt: start, Target: start.Add(time.Minute), Deadline: start.Add(time.Minute)}, start)
	g.Expect(refusal.Reason).To(gomega.Equal(pool.NoServer))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", 500*time.Millisecond))
}
