package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var mixed = guidance.Guidance{Mixed: []site.ServiceName{"service"}}

func (p *Pool) submitFor(waited, target time.Duration, now time.Time) *Waiter {
	w := &Waiter{ArrivedAt: now, Target: now.Add(target), Deadline: now.Add(3 * time.Second), Waited: waited}
	p.Submit(w, now)
	return w
}

// Guards against callers that wait for the stated delay losing their place to others, and against late requests that take the place of
// those that can be answered in time.
func TestReturningCallersGoBeforeFirstAttemptsIfTheyCanBeInTime(t *testing.T) {
	for _, isMixed := range []bool{true, false} {
		g := gomega.NewWithT(t)
		p := newSharedPool(1)
		p.SetShares(nil, shareStart)
		if isMixed {
			p.SetGuidance("service", mixed, shareStart)
		}
		now := shareStart
		for len(p.queue) == 0 { // fills the node's limit
			p.submitFor(0, time.Second, now)
		}
		p.queue = nil
		var submitted []*Waiter
		for i, waited := range []time.Duration{5, 0, 400, 800} {
			target := time.Second
			if i == 3 {
				target = 0
			}
			w := p.submitFor(waited*time.Millisecond, target, now.Add(time.Duration(i)))
			submitted = append(submitted, w)
		}
		atOnce, first, returned, late := submitted[0], submitted[1], submitted[2], submitted[3]
		want := []*Waiter{returned, first, atOnce, late}
		if !isMixed {
			want = []*Waiter{atOnce, first, returned, late}
		}
		g.Expect(p.inSendOrder(now)).To(gomega.Equal(want), "mixed: %v", isMixed)
	}
}

// Guards against immediate retries that use up a share, and against an unused share.
func TestCreditGoesToCallersThatWaited(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSharedPool(0.5)
	p.SetGuidance("service", mixed, shareStart)
	admitted := map[time.Duration]int{}
	for i := range 600 {
		waited := []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond}[i%3]
		w := &Waiter{OnlyServer: "s", ArrivedAt: shareStart, Target: shareStart.Add(time.Second), Deadline: shareStart.Add(3 * time.Second), Waited: waited}
		if admission, _ := p.Submit(w, shareStart); admission != nil {
			admitted[waited]++
			p.Done("s", Outcome{Took: 100 * time.Millisecond, Load: &site.Load{Running: 4, Waiting: 16, Slots: 4}}, shareStart)
		}
	}
	first, atOnce, returned := admitted[0], admitted[5*time.Millisecond], admitted[200*time.Millisecond]
	g.Expect(first+atOnce+returned).To(gomega.BeNumerically("~", 300, 2), "the share")
	g.Expect(returned).To(gomega.BeNumerically(">", first))
	g.Expect(atOnce).To(gomega.BeNumerically("<", first))
}

// Guards against promises on sites that are not mixed, and by guidance that is too old: random numbers are drawn as before.
func TestPromisesNeedValidGuidance(t *testing.T) {
	g := gomega.NewWithT(t)
	plain, guided := newSharedPool(0.1), newSharedPool(0.1)
	guided.SetGuidance("service", mixed, shareStart.Add(-guidance.Validity))
	guided.SetShares(quota.Shares{"s": 0.1}, shareStart.Add(10*time.Second))
	for range 50 {
		submit := func(p *Pool) *Refusal {
			_, refusal := p.Submit(&Waiter{OnlyServer: "s", ArrivedAt: shareStart, Target: shareStart.Add(time.Second), Deadline: shareStart.Add(3 * time.Second), Waited: time.Millisecond}, shareStart)
			return refusal
		}
		g.Expect(submit(guided)).To(gomega.Equal(submit(plain)))
	}
	guided.SetGuidance("service", mixed, shareStart)
	promise := guided.PromiseReturn(&Waiter{Deadline: shareStart.Add(150 * time.Millisecond)}, shareStart)
	g.Expect(*promise).To(gomega.Equal(returns.Promise{After: maxRetryAfter}), "no time left to return in, and nothing measured")
}

// newBusyMixedPool returns a pool of a mixed site that has admitted 50 requests per second of 150 ms each, and the present time.
func newBusyMixedPool() (*Pool, time.Time) {
	p := newSharedPool(1)
	p.SetGuidance("service", mixed, shareStart)
	now := shareStart
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		w := &Waiter{OnlyServer: "s", ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
		if admission, _ := p.Submit(w, now); admission != nil {
			p.Done("s", Outcome{Took: 150 * time.Millisecond, Load: &site.Load{Slots: 4}}, now)
		}
	}
	return p, now
}

// Guards against callers that are asked to return when they no longer wait, or in time for nothing, or before a request can end.
func TestPromisesFitTheTimeOfTheCaller(t *testing.T) {
	for name, c := range map[string]struct{ target, left, latest time.Duration }{
		"a third of the time left": {-time.Second, 900 * time.Millisecond, 300 * time.Millisecond},
		"in time":                  {500 * time.Millisecond, 3 * time.Second, 305 * time.Millisecond},
		"late":                     {200 * time.Millisecond, 3 * time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p, now := newBusyMixedPool()
			var latest time.Duration
			for {
				promise := p.PromiseReturn(&Waiter{Target: now.Add(c.target), Deadline: now.Add(c.left)}, now)
				g.Expect(promise.Admitted).To(gomega.BeNumerically("~", 50, 5))
				if !promise.Fits {
					g.Expect(promise.After).To(gomega.Equal(maxRetryAfter))
					break
				}
				g.Expect(promise.After).To(gomega.BeNumerically(">=", 150*time.Millisecond), "a mean service time")
				latest = max(latest, promise.After)
			}
			g.Expect(latest).To(gomega.BeNumerically("<=", c.latest))
			g.Expect(latest).To(gomega.BeNumerically(">", c.latest-100*time.Millisecond))
		})
	}
}

// Guards against first attempts that are refused for the reserve of others when shares begin.
func TestSharesStartWithTheReserveForReturningCallers(t *testing.T) {
	for seed := range uint64(20) {
		p := New("a", 0, rand.New(rand.NewPCG(seed, 1)))
		p.Update([]site.Server{{ID: "s", Slots: 4, Zone: "a"}}, 295, shareStart)
		p.SetGuidance("service", mixed, shareStart)
		p.SetShares(quota.Shares{"s": 1}, shareStart.Add(10*time.Second))
		gomega.NewWithT(t).Expect(countAdmitted(p, 1, time.Second, shareStart)).To(gomega.Equal(1), "seed %d", seed)
	}
}

// Guards against callers that leave the queue and are given a delay beside the schedule.
func TestEvictedCallersAreToldToReturnByTheSchedule(t *testing.T) {
	g := gomega.NewWithT(t)
	p, now := newBusyMixedPool()
	p.SetShares(nil, now)
	for len(p.queue) == 0 {
		p.submitFor(0, time.Second, now)
	}
	evictions := p.Evict(now.Add(2950 * time.Millisecond))
	g.Expect(evictions).To(gomega.HaveLen(1))
	g.Expect(evictions[0].Refusal.Promise).NotTo(gomega.BeNil())
	g.Expect(evictions[0].Refusal.RetryAfter).To(gomega.Equal(evictions[0].Refusal.Promise.After))
}
