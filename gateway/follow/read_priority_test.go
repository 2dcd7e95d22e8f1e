package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// maxDataAge is the maximum age of the data of a node that follows the lessor.
const maxDataAge = configWait + responseTime + followWait

// Only the lessor reads while it sends reports to the other nodes.
func TestOnlyLessorReadsWhileDataIsRecent(t *testing.T) {
	g := gomega.NewWithT(t)
	for rank := -1; rank < 60; rank++ {
		g.Expect(ReadPriority{Rank: rank, HasSeeds: true, IsSeed: true}.mayRead(maxDataAge, true)).To(gomega.BeFalse(), "rank %d", rank)
	}
	g.Expect(ReadPriority{IsLessor: true}.mayRead(0, true)).To(gomega.BeTrue())
}

// Every node notices a draining server within two seconds, whichever nodes are lost. It
// starts to read before that, and a read takes a small part of that time.
func TestEveryNodeReadsInTimeWithoutReports(t *testing.T) {
	g := gomega.NewWithT(t)
	for rank := -1; rank < 1000; rank++ {
		for _, spread := range []float64{0, 0.5, 0.99} {
			p := ReadPriority{Rank: rank, HasSeeds: true, Spread: spread}
			g.Expect(p.mayRead(maxRelayContactAge+maxReadDelay+time.Millisecond, true)).To(gomega.BeTrue(), "rank %d", rank)
		}
	}
	g.Expect(maxRelayContactAge + maxReadDelay).To(gomega.BeNumerically("<=", 2*time.Second))
}

// The node with the highest capacity of a zone has read, and notified the others, before
// they would read.
func TestFirstNodeOfZoneReadsBeforeOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	first := ReadPriority{Rank: 0}
	g.Expect(first.mayRead(firstReadAge+time.Millisecond, true)).To(gomega.BeTrue())
	g.Expect(ReadPriority{Rank: 1}.mayRead(firstReadAge+200*time.Millisecond, true)).To(gomega.BeFalse())
}

// The calls of a site, each of them billed, while the store does not respond. Load: 295
// nodes in five zones, eight seconds. With two attempts per second, the nodes would make
// 4,700 calls; the goal is one call per node in two seconds.
func TestCallsAreLimitedWhileStoreDoesNotRespond(t *testing.T) {
	g := gomega.NewWithT(t)
	const outage = 8 * time.Second
	calls := 0
	for zone := range 5 {
		for rank := range 59 {
			self := view.Member{Node: fmt.Sprintf("z%d-n%d", zone, rank)}
			p := ReadPriority{Rank: rank, HasSeeds: true, Spread: readPriorityOf(self, &view.View{}, nil).Spread}
			calls += callsIn(p, outage)
		}
	}
	g.Expect(calls).To(gomega.BeNumerically("<", 295*int(outage/(2*time.Second))))
	t.Logf("%d calls", calls)
}

// callsIn returns the number of a node's calls to a store that does not respond.
func callsIn(p ReadPriority, outage time.Duration) int {
	at := time.Duration(0)
	for !p.mayRead(at, true) {
		at += minReadPause
	}
	calls := 0
	for ; at < outage; at += p.retryPause(calls) {
		calls++
	}
	return calls
}

// The start of a site. Only its seeds read at once. The other nodes read if no seed sends
// them a report, and not all at the same time.
func TestOnlySeedsReadAtOnceAtStart(t *testing.T) {
	g := gomega.NewWithT(t)
	seeds := []string{"a-0:1", "b-0:1", "c-0:1"}
	atOnce, byLater := 0, 0
	for i := range 295 {
		self := view.Member{Node: fmt.Sprint("n", i), Address: fmt.Sprintf("n%d:1", i)}
		if i < len(seeds) {
			self.Address = seeds[i]
		}
		p := readPriorityOf(self, &view.View{}, seeds)
		if p.mayRead(seedTimeout, false) {
			atOnce++
		}
		if p.mayRead(seedTimeout+startSpread/2, false) {
			byLater++
		}
		g.Expect(p.mayRead(seedTimeout+startSpread, false)).To(gomega.BeTrue())
	}
	g.Expect(atOnce).To(gomega.Equal(3))
	g.Expect(byLater).To(gomega.BeNumerically("~", 149, 40), "half of the nodes that receive no report")
	alone := readPriorityOf(view.Member{Node: "n"}, &view.View{}, nil)
	g.Expect(alone.mayRead(0, false)).To(gomega.BeTrue(), "there is no node to call")
}
