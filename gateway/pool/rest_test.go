package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// newRestingPool returns a pool with servers s0, s1, ... of which each may rest.
func newRestingPool(rests ...time.Duration) *pool.Pool {
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	var servers []site.Server
	for i := range rests {
		servers = append(servers, site.Server{ID: restingID(i), Service: "s", Zone: "a", Slots: 4})
	}
	p.Update(servers, 1, start)
	for i, rest := range rests {
		p.Rest(restingID(i), rest, start)
	}
	return p
}

func restingID(i int) site.ServerID { return site.ServerID(rune('0' + i)) }

// waiting returns a request with a time until its deadline.
func waiting(left time.Duration) *pool.Waiter {
	return &pool.Waiter{ArrivedAt: start, Target: start.Add(left), Deadline: start.Add(left)}
}

// Guards against callers that wait for servers that rest, are told to return into a certain refusal, or are
// refused although a server may run their requests.
func TestRequestsOfARestingService(t *testing.T) {
	const short, long = 100 * time.Millisecond, 4 * time.Second
	for name, row := range map[string]struct {
		rests      []time.Duration
		onlyServer site.ServerID
		tried      []site.ServerID
		wantServer site.ServerID
		retryAfter time.Duration // 0: it is not refused
	}{
		"no server rests":                              {rests: []time.Duration{0}, wantServer: "0"},
		"one of two rests":                             {rests: []time.Duration{long, 0}, wantServer: "1"},
		"all rest, for different times":                {rests: []time.Duration{long, 3 * time.Second}, retryAfter: 3 * time.Second},
		"all rest, one for a short time: it waits":     {rests: []time.Duration{long, short}},
		"the owner of the key rests, others do not":    {rests: []time.Duration{long, 0}, onlyServer: "0", retryAfter: long},
		"the owner does not rest, others do":           {rests: []time.Duration{long, 0}, onlyServer: "1", wantServer: "1"},
		"the owner rests for a short time: it waits":   {rests: []time.Duration{short, 0}, onlyServer: "0"},
		"those that have not been tried rest":          {rests: []time.Duration{0, long}, tried: []site.ServerID{"0"}, retryAfter: long},
		"those that have been tried rest, one is left": {rests: []time.Duration{long, 0}, tried: []site.ServerID{"0"}, wantServer: "1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := newRestingPool(row.rests...)
			w := waiting(2 * time.Second)
			w.OnlyServer, w.Tried = row.onlyServer, row.tried
			admission, refusal := p.Submit(w, start)
			switch {
			case row.wantServer != "":
				g.Expect(admission.Server.ID).To(gomega.Equal(row.wantServer))
			case row.retryAfter > 0:
				g.Expect(refusal.Reason).To(gomega.Equal(pool.Resting))
				g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", row.retryAfter))
				g.Expect(refusal.RetryAfter).To(gomega.BeNumerically("<=", row.retryAfter+row.retryAfter/10+1))
			default:
				g.Expect(admission).To(gomega.BeNil())
				g.Expect(refusal).To(gomega.BeNil())
				at, waits := p.NextAdmitTime(start)
				g.Expect(waits).To(gomega.BeTrue())
				g.Expect(at).To(gomega.Equal(start.Add(short)))
				g.Expect(p.Admit(at.Add(-1))).To(gomega.BeEmpty())
				g.Expect(p.Admit(at)).To(gomega.HaveLen(1))
			}
		})
	}
}

// Guards against a burst at the end of a rest: a first request is sent alone, the most urgent, and others when it
// has been answered.
func TestRequestsReturnOneFirstAfterARest(t *testing.T) {
	g := gomega.NewWithT(t)
	const rest = 200 * time.Millisecond
	p := newRestingPool(rest)
	for priority := range 3 {
		w := waiting(2 * time.Second)
		w.Priority = 2 - priority
		admission, refusal := p.Submit(w, start)
		g.Expect(admission).To(gomega.BeNil())
		g.Expect(refusal).To(gomega.BeNil())
	}
	over := start.Add(rest)
	first := p.Admit(over)
	g.Expect(first).To(gomega.HaveLen(1))
	g.Expect(first[0].Waiter.Priority).To(gomega.BeZero())
	g.Expect(p.Admit(over.Add(50 * time.Millisecond))).To(gomega.BeEmpty())
	took := 100 * time.Millisecond
	g.Expect(p.Done("0", pool.Outcome{Took: took}, over.Add(took))).To(gomega.HaveLen(2))
}

// Guards against requests that stay queued while their servers begin to rest for too long.
func TestWaitersAreRefusedWhenTheirServersRest(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newRestingPool(0)
	waiters := 0
	for range 12 {
		if admission, refusal := p.Submit(waiting(2*time.Second), start); admission == nil {
			g.Expect(refusal).To(gomega.BeNil())
			waiters++
		}
	}
	g.Expect(waiters).To(gomega.BeNumerically(">", 0))
	admitted := p.Done("0", pool.Outcome{Took: time.Millisecond, NoCapacity: true, Rest: 4 * time.Second}, start)
	g.Expect(admitted).To(gomega.BeEmpty())
	evictions := p.Evict(start)
	g.Expect(evictions).To(gomega.HaveLen(waiters))
	g.Expect(evictions[0].Refusal.Reason).To(gomega.Equal(pool.Resting))
}

// Guards against a server that is punished twice for its refusal: by the rest that it has asked for, and by a
// lower limit and a failure rate after it.
func TestRestIsNotPunishedTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newRestingPool(0)
	const rest = time.Second
	for range 3 {
		_, refusal := p.Submit(waiting(10*time.Second), start)
		g.Expect(refusal).To(gomega.BeNil())
	}
	for range 3 {
		p.Done("0", pool.Outcome{Took: time.Millisecond, NoCapacity: true, Rest: rest}, start)
	}
	over := start.Add(rest)
	submit := func(at time.Time) *pool.Admission {
		w := waiting(time.Minute)
		w.ArrivedAt = at
		admission, refusal := p.Submit(w, at)
		g.Expect(refusal).To(gomega.BeNil())
		return admission
	}
	g.Expect(submit(over)).NotTo(gomega.BeNil())
	p.Done("0", pool.Outcome{Took: time.Millisecond, Load: &site.Load{Running: 1, Slots: 4}}, over.Add(time.Millisecond))
	for range 4 {
		g.Expect(submit(over.Add(time.Millisecond))).NotTo(gomega.BeNil(), "all its slots are used again")
	}
}

// Guards against callers that spend both their tries in the rest of all servers: another attempt is refused
// with the time that is left, and takes nothing of the retry budget.
func TestRetryIsRefusedWhileAllServersRest(t *testing.T) {
	const rest = 4 * time.Second
	for name, row := range map[string]struct {
		rests   []time.Duration
		tried   []site.ServerID
		refused bool
	}{
		"all servers have been tried and rest":       {[]time.Duration{rest, rest}, []site.ServerID{"0", "1"}, true},
		"the one that is left rests too":             {[]time.Duration{rest, rest}, []site.ServerID{"0"}, true},
		"one is left":                                {[]time.Duration{rest, 0}, []site.ServerID{"0"}, false},
		"all have been tried, and one does not rest": {[]time.Duration{rest, 0}, []site.ServerID{"0", "1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := waiting(2 * time.Second)
			w.Tried = row.tried
			refusal := newRestingPool(row.rests...).RefuseRetry(w, start)
			if !row.refused {
				g.Expect(refusal).To(gomega.BeNil())
				return
			}
			g.Expect(refusal.Reason).To(gomega.Equal(pool.Resting))
			g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", rest))
		})
	}
}
