package duty

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// All nodes are killed and restart. The node of the previous lessor knows that its earlier
// incarnation has ended and claims immediately; the others wait until the topic has been
// idle for suspectTimeout.
func TestNodeTreatsItsEarlierIncarnationAsEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	self := ranges.Lessor{Node: "n1", Boot: "second"}
	owned := func(node, boot string, quiet time.Duration) follow.Ownership {
		table := &ranges.Table{Lessor: ranges.Lessor{Node: node, Boot: boot}}
		return follow.Ownership{Known: true, Table: view.Table{Table: table}, EndObservedAt: now.Add(-quiet)}
	}
	resigned := owned("n2", "x", 0)
	resigned.Resigned = true
	for name, row := range map[string]struct {
		ownership follow.Ownership
		want      bool
	}{
		"no lessor yet":                    {follow.Ownership{Known: true}, true},
		"the lessor has resigned":          {resigned, true},
		"the lessor confirms its lease":    {owned("n2", "x", 0), false},
		"one confirmation is late":         {owned("n2", "x", suspectTimeout), false},
		"the lessor is unresponsive":       {owned("n2", "x", suspectTimeout+1), true},
		"earlier incarnation of this node": {owned("n1", "first", 0), true},
		"this incarnation":                 {owned("n1", "second", 0), false},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(isLeaseVacant(row.ownership, self, now)).To(gomega.Equal(row.want))
		})
	}
}

// On a site of 295 nodes nearly all receive the lessor's decisions from other nodes. They
// cannot claim the lease and do not check whether it is vacant.
func TestNodeThatDoesNotReadTheOwnershipTopicSleeps(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	d := New()
	d.Reader = new(follow.Reader)
	g.Expect(d.nextInterval(now)).To(gomega.Equal(sleepTick), "the topic has never been read")
	read := follow.Ownership{Known: true, ReadAt: now}
	g.Expect(isFresh(read, now.Add(maxReadAge-1))).To(gomega.BeTrue())
	g.Expect(isFresh(read, now.Add(maxReadAge))).To(gomega.BeFalse())
	d.allocator = ranges.NewAllocator(new(ranges.Table), d.Timing, 0, now)
	g.Expect(d.nextInterval(now)).To(gomega.Equal(lessorTick))
}
