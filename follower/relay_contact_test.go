package follower_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/topo"
)

// logEnds stores when each record was appended to the log.
type logEnds struct {
	mu    sync.Mutex
	since []time.Time // by offset
}

func (e *logEnds) note(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.since = append(e.since, at)
}

// endBefore returns how many records the log held just before a time.
func (e *logEnds) endBefore(at time.Time) topo.Offset {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := topo.Offset(0)
	for _, since := range e.since {
		if since.Before(at) {
			held++
		}
	}
	return held
}

// Under faults of links, relays and the log, a node has applied every record that
// was in the log at the time of its contact, and its state never moves back.
func TestContactThroughRelaysIsNeverTooFresh(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { contactUnderFaults(t, seed) })
		})
	}
}

func contactUnderFaults(t *testing.T, seed uint64) {
	s, members := relayedSite(t, 1+int(seed%3), "a", "b", "c", "d", "e")
	random := rand.New(rand.NewPCG(seed, 1))
	held := &logEnds{}
	_, end := s.store.Bounds()
	for range end - 1 {
		held.note(time.Time{})
	}
	names := []topo.NodeID{"a", "b", "c", "d", "e"}
	last := map[topo.NodeID]topo.Offset{}
	for step := range 2500 {
		time.Sleep(time.Duration(1+random.IntN(20)) * time.Millisecond)
		if random.IntN(10) == 0 {
			s.put("z@b1", uint64(step+1), join("z"))
			held.note(time.Now())
		}
		if random.IntN(15) == 0 {
			injectOne(s, members, names, random)
		}
		for _, name := range names {
			contact, applied := members[name].LastContact(), members[name].View().Applied()
			s.g.Expect(applied).To(gomega.BeNumerically(">=", held.endBefore(contact)), "seed %d, step %d, node %s", seed, step, name)
			s.g.Expect(applied).To(gomega.BeNumerically(">=", last[name]), "seed %d, step %d, node %s", seed, step, name)
			last[name] = applied
		}
	}
	s.network.Heal()
	all := make([]*member, 0, len(names))
	for _, name := range names {
		s.network.Resume(name)
		members[name].log.Heal()
		all = append(all, members[name])
	}
	s.sameState(all...)
}

// injectOne injects or removes one random fault of the network or a node's log.
func injectOne(s *site, members map[topo.NodeID]*member, names []topo.NodeID, random *rand.Rand) {
	one, other := names[random.IntN(len(names))], names[random.IntN(len(names))]
	some := func(most int) time.Duration { return time.Duration(random.IntN(most)) * time.Millisecond }
	switch random.IntN(9) {
	case 0:
		s.network.Heal()
	case 1:
		s.network.Set(one, other, peermem.Fault{Delay: some(150), Jitter: some(300)})
	case 2:
		s.network.Cut(one, other)
	case 3:
		s.network.Pause(one)
	case 4:
		for _, name := range names {
			s.network.Resume(name)
		}
	case 5:
		members[one].log.Down()
	case 6:
		members[one].log.Set(logfault.Faults{Slow: some(800), Repeat: 3})
	case 7:
		members[one].log.Heal()
	case 8:
		s.network.Set(one, other, peermem.Fault{Duplicate: 0.3, Reorder: 0.3, HoldBack: some(200)})
	}
}
