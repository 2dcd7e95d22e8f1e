package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// newsAge is how old news are, at the most, that a node has which follows the lessor.
const newsAge = configWait + answerTime + followWait

// Nobody but the lessor reads while it tells the others.
func TestNobodyReadsWhileNewsAreFresh(t *testing.T) {
	g := gomega.NewWithT(t)
	for rank := -1; rank < 60; rank++ {
		g.Expect(Standing{Rank: rank, HasSeeds: true, IsSeed: true}.mayRead(newsAge, true)).To(gomega.BeFalse(), "rank %d", rank)
	}
	g.Expect(Standing{IsLessor: true}.mayRead(0, true)).To(gomega.BeTrue())
}

// Every node notices a server that drains within two seconds, whoever is lost: it
// reads before, and a read takes little of that.
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

// The strongest node of a zone has read, and told the others, before their turn comes.
func TestTheFirstNodeOfAZoneReadsBeforeTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	first := Standing{Rank: 0}
	g.Expect(first.mayRead(firstTurn+time.Millisecond, true)).To(gomega.BeTrue())
	g.Expect(Standing{Rank: 1}.mayRead(firstTurn+200*time.Millisecond, true)).To(gomega.BeFalse())
}

// The calls of a site while the store does not answer, each of them paid for. The
// load: 295 nodes in five zones, eight seconds. Each node trying twice a second would
// make 4,700; the aim is one call for each node in two seconds.
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

// callsIn returns how often a node calls a store that does not answer.
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

// The start of a site. Only its seeds read at once; the others do if no seed tells
// them, and not all at the same time.
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
