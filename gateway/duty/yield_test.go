package duty

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// On a site of 295 nodes, 15 have much capacity. Seeds are the first to read the store and
// may have little; the lease then moves once, to a node with much capacity.
func TestLessorYieldsToANodeWithMoreCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	lessorOf := func(strength float64, others ...float64) *Duty {
		d := New()
		d.Logger = hclog.NewNullLogger()
		d.Self = ranges.Lessor{Node: "self"}
		d.Member = view.Member{Node: "self", Capacity: strength}
		d.State = view.NewState()
		d.Reader = new(follow.Reader)
		members := []view.Member{d.Member}
		for _, other := range others {
			members = append(members, view.Member{Node: "other", Capacity: other})
		}
		d.State.SetMembers(members)
		d.lessorSince = start
		return d
	}
	yields := func(d *Duty, after time.Duration) bool {
		d.considerYielding(start.Add(after))
		return d.yielding
	}
	g.Expect(yields(lessorOf(0.03, 0.03, 0.8), minLeaseBeforeYield)).To(gomega.BeTrue())
	g.Expect(yields(lessorOf(0.03, 0.8), minLeaseBeforeYield-1)).To(gomega.BeFalse(), "the other members may not have reported their capacity yet")
	g.Expect(yields(lessorOf(0.32, 0.32, 0.5), minLeaseBeforeYield)).To(gomega.BeFalse(), "similar capacity")
	g.Expect(yields(lessorOf(0, 0), minLeaseBeforeYield)).To(gomega.BeFalse(), "no member's capacity is known")

	d := lessorOf(0.03, 0.8)
	g.Expect(yields(d, minLeaseBeforeYield)).To(gomega.BeTrue())
	d.endLease()
	g.Expect(d.yielding).To(gomega.BeFalse())
	g.Expect(yields(d, 2*minLeaseBeforeYield+resignedClaimPause)).To(gomega.BeFalse(), "it had to claim again: the node with more capacity cannot take the lease")
}
