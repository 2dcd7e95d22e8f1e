package buffer_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

var epoch = time.Unix(1_000_000, 0)

var key = buffer.Key{Server: "s1"}

func waiter(id uint64, in time.Duration) buffer.Waiter {
	return buffer.Waiter{ID: id, Service: "logs", Deadline: epoch.Add(in)}
}

func TestWaitsOnlyIfExpectedRecoveryIsBeforeDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := buffer.NewOutageTracker(10)
	tracker.Failed(epoch, key, buffer.Unreachable, 0.5)
	refusal, refused := tracker.Join(epoch, key, waiter(1, time.Second))
	g.Expect(refused).To(gomega.BeTrue(), "a lost server takes longer than a second to replace")
	g.Expect(refusal.Reason).To(gomega.Equal(callerapi.ReasonNoOwner))
	g.Expect(refusal.RetryAfter).To(gomega.Equal(2500 * time.Millisecond))
	_, refused = tracker.Join(epoch, key, waiter(2, 5*time.Second))
	g.Expect(refused).To(gomega.BeFalse())
}

// TestLateWaitersAreRefusedLongBeforeTheirDeadline: an outage that
// exceeds the estimate is expected to continue in proportion to its duration.
func TestLateWaitersAreRefusedLongBeforeTheirDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := buffer.NewOutageTracker(10)
	tracker.Failed(epoch, key, buffer.Unreachable, 0.5)
	_, refused := tracker.Join(epoch, key, waiter(1, 10*time.Second))
	g.Expect(refused).To(gomega.BeFalse())
	at := time.Duration(0)
	for ; tracker.Waiting() > 0 && at < 10*time.Second; at += 10 * time.Millisecond {
		for _, swept := range tracker.Sweep(epoch.Add(at)) {
			if swept.Probe {
				tracker.Failed(epoch.Add(at), key, buffer.Unreachable, 0.5)
				_, refused = tracker.Join(epoch.Add(at), key, swept.Waiter)
			}
		}
		if refused {
			break
		}
	}
	g.Expect(at).To(gomega.BeNumerically("~", 6670*time.Millisecond, 100*time.Millisecond))
}

func TestFullBufferRefusesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := buffer.NewOutageTracker(2)
	tracker.Failed(epoch, key, buffer.Moving, 0.5)
	for id := range uint64(2) {
		_, refused := tracker.Join(epoch, key, waiter(id, time.Minute))
		g.Expect(refused).To(gomega.BeFalse())
	}
	refusal, refused := tracker.Join(epoch, key, waiter(3, time.Minute))
	g.Expect(refused).To(gomega.BeTrue())
	g.Expect(refusal.Reason).To(gomega.Equal(callerapi.ReasonBufferFull))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	other := buffer.Waiter{ID: 4, Service: "profiles", Deadline: epoch.Add(time.Minute)}
	_, refused = tracker.Join(epoch, key, other)
	g.Expect(refused).To(gomega.BeFalse(), "each service has its own limit")
}

func TestOneProbeAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := buffer.NewOutageTracker(10)
	g.Expect(tracker.Plan(epoch, key)).To(gomega.Equal(buffer.Proceed))
	tracker.Failed(epoch, key, buffer.Moving, 0.5)
	g.Expect(tracker.Plan(epoch, key)).To(gomega.Equal(buffer.Wait))
	later := epoch.Add(20 * time.Millisecond)
	g.Expect(tracker.Plan(later, key)).To(gomega.Equal(buffer.Probe))
	g.Expect(tracker.Plan(later, key)).To(gomega.Equal(buffer.Wait))
	tracker.Abandoned(key)
	g.Expect(tracker.Plan(later, key)).To(gomega.Equal(buffer.Probe))
	tracker.Recovered(later, key)
	g.Expect(tracker.Plan(later, key)).To(gomega.Equal(buffer.Proceed))
}

func TestEstimatesOutageDuration(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := buffer.NewOutageTracker(10)
	now := epoch
	for range 40 {
		tracker.Failed(now, key, buffer.Unreachable, 0.5)
		tracker.Recovered(now.Add(800*time.Millisecond), key)
		now = now.Add(time.Minute)
	}
	tracker.Failed(now, key, buffer.Unreachable, 0.5)
	refusal, refused := tracker.Join(now, key, buffer.Waiter{ID: 1, Service: "logs", Deadline: now})
	g.Expect(refused).To(gomega.BeTrue())
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically("~", 800*time.Millisecond, 20*time.Millisecond))
}

// TestAnotherOwnerDoesNotEndAnOutage: when one shard of a lost server is
// served by another owner, requests for its other shards still wait, and the
// duration is added to the estimate once.
func TestAnotherOwnerDoesNotEndAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := buffer.NewOutageTracker(10)
	tracker.Failed(epoch, key, buffer.Unreachable, 0.5)
	now := epoch.Add(100 * time.Millisecond)
	for range 3 { // the duration is added only once
		tracker.ServedElsewhere(now, key)
	}
	g.Expect(tracker.Plan(epoch.Add(time.Millisecond), key)).To(gomega.Equal(buffer.Wait))
	refusal, refused := tracker.Join(now, key, buffer.Waiter{ID: 1, Service: "logs", Deadline: now})
	g.Expect(refused).To(gomega.BeTrue())
	g.Expect(refusal.RetryAfter).To(gomega.Equal(1800 * time.Millisecond)) // 2.5 s moved a quarter of the way to 0.1 s, minus the elapsed 0.1 s
}

// TestEveryWaiterIsNotifiedOnce generates outages, recoveries, waits and
// advances of time: each waiting request is notified exactly once, the limit
// holds, and at most one probe is in flight for a key.
func TestEveryWaiterIsNotifiedOnce(t *testing.T) {
	keys := []buffer.Key{{Server: "s1"}, {Server: "s2"}, {Group: "g", Term: topo.MakeTerm(1, 0)}}
	rapid.Check(t, func(t *rapid.T) {
		tracker := buffer.NewOutageTracker(5)
		now := epoch
		next := uint64(0)
		waiting := map[uint64]buffer.Key{}
		probing := map[buffer.Key]bool{}
		drawKey := func(t *rapid.T) buffer.Key { return rapid.SampledFrom(keys).Draw(t, "key") }
		notified := func(t *rapid.T, id uint64) {
			if _, waits := waiting[id]; !waits {
				t.Fatalf("request %d was notified twice", id)
			}
			delete(waiting, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if tracker.Waiting() != len(waiting) || len(waiting) > 5 {
					t.Fatalf("%d wait, counted %d", len(waiting), tracker.Waiting())
				}
			},
			"plan": func(t *rapid.T) {
				k := drawKey(t)
				if tracker.Plan(now, k) == buffer.Probe {
					if probing[k] {
						t.Fatal("second probe")
					}
					probing[k] = true
				}
			},
			"fail": func(t *rapid.T) {
				k := drawKey(t)
				tracker.Failed(now, k, buffer.Moving, rapid.Float64Range(0, 0.99).Draw(t, "uniform"))
				delete(probing, k)
			},
			"abandon": func(t *rapid.T) {
				k := drawKey(t)
				tracker.Abandoned(k)
				delete(probing, k)
			},
			"recover": func(t *rapid.T) {
				k := drawKey(t)
				for _, w := range tracker.Recovered(now, k) {
					notified(t, w.ID)
				}
				delete(probing, k)
			},
			"join": func(t *rapid.T) {
				k := drawKey(t)
				if tracker.Plan(now, k) != buffer.Wait {
					tracker.Abandoned(k)
					delete(probing, k)
					return
				}
				next++
				wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * time.Millisecond
				w := buffer.Waiter{ID: next, Service: "logs", Deadline: now.Add(wait)}
				refusal, refused := tracker.Join(now, k, w)
				if refused && refusal.RetryAfter <= 0 {
					t.Fatal("refused without a retry delay")
				}
				if !refused {
					waiting[next] = k
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(waiting))).Draw(t, "id")
				if !tracker.Leave(waiting[id], id) {
					t.Fatalf("request %d does not wait", id)
				}
				delete(waiting, id)
			},
			"sweep": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				for _, swept := range tracker.Sweep(now) {
					notified(t, swept.ID)
					if !swept.Probe {
						continue
					}
					if probing[swept.Key] {
						t.Fatal("second probe")
					}
					probing[swept.Key] = true
				}
			},
		})
	})
}
