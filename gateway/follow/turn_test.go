package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// newsAge is the maximum age of the data of a node that follows the lessor.
const newsAge = configWait + answerTime + followWait

// Only the lessor reads while it sends reports to the other nodes.
func TestNobodyReadsWhileNewsAreFresh(t *testing.T) {
	g := gomega.NewWithT(t)
	for rank := -1; rank < 60; rank++ {
		g.Expect(Standing{Rank: rank, HasSeeds: true, IsSeed: true}.mayRead(newsAge, true)).To(gomega.BeFalse(), "rank %d", rank)
	}
	g.Expect(Standing{IsLessor: true}.mayRead(0, true)).To(gomega.BeTrue())
}

// Every node notices a draining server within two seconds, whichever nodes are lost. It
// starts to read before that, and a read takes a small part of that time.
func TestEveryNodeReadsInTimeIfNobodyTellsItAnything(t *testing.T) {
	g := gomega.NewWithT(t)
	for rank := -1; rank < 1000; rank++ {
		for _, spread := range []float64{0, 0.5, 0.99} {
			s := Standing{Rank: rank, HasSeeds: true, Spread: spread}
			g.Expect(s.mayRead(staleRelay+mostTurns+time.Millisecond, true)).To(gomega.BeTrue(), "rank %d", rank)
		}
	}
	g.Expect(staleRelay + mostTurns).To(gomega.BeNumerically("<=", 2*time.Second))
}

// The node with the highest capacity of a zone has read, and notified the others, before
// they would read.
func TestTheFirstNodeOfAZoneReadsBeforeTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	first := Standing{Rank: 0}
	g.Expect(first.mayRead(firstTurn+time.Millisecond, true)).To(gomega.BeTrue())
	g.Expect(Standing{Rank: 1}.mayRead(firstTurn+200*time.Millisecond, true)).To(gomega.BeFalse())
}

// The calls of a site, each of them billed, while the store does not respond. Load: 295
// nodes in five zones, eight seconds. With two attempts per second, the nodes would make
// 4,700 calls; the goal is one call per node in two seconds.
func TestCallsAreBoundedWhileTheStoreDoesNotAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	const outage = 8 * time.Second
	calls := 0
	for zone := range 5 {
		for rank := range 59 {
			self := view.Member{Node: fmt.Sprintf("z%d-n%d", zone, rank)}
			s := Standing{Rank: rank, HasSeeds: true, Spread: standingOf(self, &view.View{}, nil).Spread}
			calls += callsIn(s, outage)
		}
	}
	g.Expect(calls).To(gomega.BeNumerically("<", 295*int(outage/(2*time.Second))))
	t.Logf("%d calls", calls)
}

// callsIn returns the number of a node's calls to a store that does not respond.
func callsIn(s Standing, outage time.Duration) int {
	at := time.Duration(0)
	for !s.mayRead(at, true) {
		at += leastPause
	}
	calls := 0
	for ; at < outage; at += s.retryPause(calls) {
		calls++
	}
	return calls
}

// The start of a site. Only its seeds read at once. The other nodes read if no seed sends
// them a report, and not all at the same time.
func TestOnlySeedsReadAtOnceAtTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	seeds := []string{"a-0:1", "b-0:1", "c-0:1"}
	atOnce, byLater := 0, 0
	for i := range 295 {
		self := view.Member{Node: fmt.Sprint("n", i), Address: fmt.Sprintf("n%d:1", i)}
		if i < len(seeds) {
			self.Address = seeds[i]
		}
		s := standingOf(self, &view.View{}, seeds)
		if s.mayRead(startPatience, false) {
			atOnce++
		}
		if s.mayRead(startPatience+startSpread/2, false) {
			byLater++
		}
		g.Expect(s.mayRead(startPatience+startSpread, false)).To(gomega.BeTrue())
	}
	g.Expect(atOnce).To(gomega.Equal(3))
	g.Expect(byLater).To(gomega.BeNumerically("~", 149, 40), "half of those that nobody tells anything")
	alone := standingOf(view.Member{Node: "n"}, &view.View{}, nil)
	g.Expect(alone.mayRead(0, false)).To(gomega.BeTrue(), "there is nobody to ask")
}
