package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// oneByOne sends requests to three servers, each after the one before, for a time. It returns how many each
// server got in the second half of it. took returns how long a server takes when its latest request was sent
// at a time.
func oneByOne(length time.Duration, took func(id site.ServerID, now, latest time.Time) pool.Outcome) map[site.ServerID]int {
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s0", Slots: 4, Zone: "a"}, {ID: "s1", Slots: 4, Zone: "a"}, {ID: "s2", Slots: 4, Zone: "a"}}, 1, start)
	latest := map[site.ServerID]time.Time{}
	counts := map[site.ServerID]int{}
	for now := start; now.Before(start.Add(length)); now = now.Add(20 * time.Millisecond) {
		w := &pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
		admission, _ := p.Submit(w, now)
		id := admission.Server.ID
		outcome := took(id, now, latest[id])
		latest[id] = now
		if now.After(start.Add(length / 2)) {
			counts[id]++
		}
		now = now.Add(outcome.Took)
		p.Done(id, outcome, now)
	}
	return counts
}

// Guards against a server that gets next to no requests because they are rare there: each then needs a new
// connection, and the server looked slow by the time that this takes.
func TestServersAreNotSlowByNewConnections(t *testing.T) {
	const serviceTime, connectTime, connectionsKept = 5 * time.Millisecond, 4 * time.Millisecond, 200 * time.Millisecond
	counts := oneByOne(time.Minute, func(_ site.ServerID, now, latest time.Time) pool.Outcome {
		if now.Sub(latest) < connectionsKept {
			return pool.Outcome{Took: serviceTime}
		}
		return pool.Outcome{Took: serviceTime + connectTime, Connect: connectTime}
	})
	for _, id := range []site.ServerID{"s0", "s1", "s2"} {
		gomega.NewWithT(t).Expect(counts[id]).To(gomega.BeNumerically(">", 100), "of 1200: %v", counts)
	}
}
