package pool

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Evict removes the waiters that can no longer be answered before their deadline, and returns
// them with a retry delay. This is needed when a key becomes hot while requests wait: newer
// requests, which can still meet their target, are sent first, so the older ones would only
// wait until their deadline and should be refused at once.
//
// Waiters are examined in the order in which they are sent, so that an evicted one does not
// count against those behind it, and are compared with each other only by the sort. Evict
// runs at the end of every request: comparing every pair of 400 waiters would take 2.1 ms
// each time, most of a weak VM's processor at 50 requests per second.
func (p *Pool) Evict(now time.Time) []Eviction {
	var evictions []Eviction
	throughputs := map[site.ServerID]throughput{}
	ahead := map[site.ServerID]int{} // waiters kept so far, by their only server
	kept := 0
	for _, w := range p.inSendOrder(now) {
		if p.waitsInVain(w, now) {
			evictions = append(evictions, Eviction{Waiter: w, Refusal: *p.noServerRefusal(w, now)})
			continue
		}
		if refusal := p.refuseResting(w, now); refusal != nil {
			evictions = append(evictions, Eviction{Waiter: w, Refusal: *refusal})
			continue
		}
		if refusal := p.refuseCounted(w, now); refusal != nil {
			evictions = append(evictions, Eviction{Waiter: w, Refusal: *refusal})
			continue
		}
		if refusal := p.refuseBeyondAdmission(w, now); refusal != nil {
			evictions = append(evictions, Eviction{Waiter: w, Refusal: *refusal})
			continue
		}
		if refusal := p.refuseOverShare(w, now); refusal != nil {
			evictions = append(evictions, Eviction{Waiter: w, Refusal: *refusal})
			continue
		}
		waitersAhead := kept
		if w.OnlyServer != "" {
			waitersAhead = ahead[w.OnlyServer]
		}
		wait := p.freeSlotWait(w, p.cachedThroughput(throughputs, w, now).wait(waitersAhead), waitersAhead, now)
		if !now.Add(time.Duration(evictionWaitFactor * float64(wait))).After(w.Deadline) {
			kept++
			ahead[w.OnlyServer]++
			continue
		}
		evictions = append(evictions, Eviction{Waiter: w, Refusal: *p.refuseForCapacity(w, WaitTooLong, wait, now)})
	}
	p.removeAll(evictions)
	return evictions
}

// inSendOrder returns the waiters in the order in which they are sent.
func (p *Pool) inSendOrder(now time.Time) []*Waiter {
	type queued struct {
		*Waiter
		inTime bool
	}
	entries := make([]queued, 0, len(p.queue))
	for _, w := range p.queue {
		entries = append(entries, queued{w, p.inTime(w, now)})
	}
	slices.SortStableFunc(entries, func(a, b queued) int { return compareWaiters(a.Waiter, b.Waiter, a.inTime, b.inTime) })
	order := make([]*Waiter, 0, len(entries))
	for _, t := range entries {
		order = append(order, t.Waiter)
	}
	return order
}

// cachedThroughput returns the throughput of a waiter's servers, which is the same for all
// waiters that may go to the same servers.
func (p *Pool) cachedThroughput(cache map[site.ServerID]throughput, w *Waiter, now time.Time) throughput {
	if w.OnlyServer == "" && len(w.Tried) > 0 {
		return p.throughputFor(w, now)
	}
	t, exists := cache[w.OnlyServer]
	if !exists {
		t = p.throughputFor(w, now)
		cache[w.OnlyServer] = t
	}
	return p.throughputOfRoute(t, w, now)
}

func (p *Pool) removeAll(evictions []Eviction) {
	if len(evictions) == 0 {
		return
	}
	removed := make(map[*Waiter]bool, len(evictions))
	for _, e := range evictions {
		removed[e.Waiter] = true
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *Waiter) bool { return removed[w] })
}

// evictionWaitFactor is the share of the expected wait that must still fit the time left. It
// is below one because the estimate is rough and an evicted waiter cannot regain its
// position.
const evictionWaitFactor = 0.7

// Eviction refuses a request that has waited.
type Eviction struct {
	Waiter  *Waiter
	Refusal Refusal
}

// waitsInVain reports whether there are servers and none of them may run a request that waits: they leave, or it
// has been sent to the others.
func (p *Pool) waitsInVain(w *Waiter, now time.Time) bool {
	if w.OnlyServer != "" {
		m := p.members[w.OnlyServer]
		return m != nil && !m.MayServe(true, now)
	}
	return len(p.order) > 0 && !slices.ContainsFunc(p.order, func(m *member) bool { return w.mayRunAt(m, now) })
}
