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

// Guards against servers that get no requests any more because most servers were slow once: the median that a
// slow one's mean decays to was then that of times long ago.
func TestServersThatWereSlowOnceAreUsedAgain(t *testing.T) {
	const usual, slow, slowFor = 20 * time.Millisecond, 80 * time.Millisecond, time.Second
	counts := oneByOne(2*time.Minute, func(id site.ServerID, now, _ time.Time) pool.Outcome {
		if id != "s0" && now.Before(start.Add(slowFor)) {
			return pool.Outcome{Took: slow}
		}
		return pool.Outcome{Took: usual}
	})
	for _, id := range []site.ServerID{"s0", "s1", "s2"} {
		gomega.NewWithT(t).Expect(counts[id]).To(gomega.BeNumerically(">", 100), "of 1500: %v", counts)
	}
}

// Guards against requests to servers that stay slow, only because they were not used for a while.
func TestServersThatStaySlowGetFewRequests(t *testing.T) {
	counts := oneByOne(2*time.Minute, func(id site.ServerID, _, _ time.Time) pool.Outcome {
		if id == "s0" {
			return pool.Outcome{Took: 20 * time.Millisecond}
		}
		return pool.Outcome{Took: 60 * time.Millisecond}
	})
	gomega.NewWithT(t).Expect(counts["s1"]+counts["s2"]).To(gomega.BeNumerically("<", counts["s0"]/20), "%v", counts)
}
