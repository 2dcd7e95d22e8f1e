package duty

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// setKeyedService sets a configuration with a keyed service that has a server, and one without keys.
func setKeyedService(d *Duty) {
	d.State.MergeConfig(&site.Config{Version: 1, Services: map[site.ServiceName]site.Service{"s": {Name: "s", Keyed: true}, "other": {Name: "other"}}})
	d.State.MergeServers(view.Servers{Offset: 1, Servers: map[site.ServerID]site.Server{"a": {ID: "a", Service: "s"}, "b": {ID: "b", Service: "other"}}})
}

// A lessor that could connect to no server kept the lease for two seconds, in which no hold was
// renewed.
func TestPartitionedLessorResignsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	partitioned := false
	d := lessorOf(now, 0)
	d.IsPartitioned = func(site.ServiceName) bool { return partitioned }
	d.lessorSince = now
	setKeyedService(d)
	d.State.SetMembers([]view.Member{{Node: "n1", Boot: "b1"}, {Node: "n2", Boot: "b2"}})
	g.Expect(d.mustResign(now)).To(gomega.BeFalse())
	partitioned = true
	g.Expect(d.mustResign(now)).To(gomega.BeTrue())
	d.State.SetMembers([]view.Member{{Node: "n1", Boot: "b1"}})
	g.Expect(d.mustResign(now)).To(gomega.BeFalse(), "no other node could take the lease")
}

// Nodes that could connect to no server claimed a lease that others could have used.
func TestPartitionedNodeClaimsAfterTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	start := clock.Now()
	partitioned := true
	d := New()
	d.Self, d.Member = ranges.Lessor{Node: "n1", Boot: "b1"}, view.Member{Node: "n1", Boot: "b1", Capacity: 1}
	d.Logger = hclog.NewNullLogger()
	d.IsPartitioned = func(site.ServiceName) bool { return partitioned }
	d.State = view.NewState()
	setKeyedService(d)
	d.State.SetMembers([]view.Member{d.Member, {Node: "n2", Boot: "b2", Capacity: 1}})
	claims := func(after time.Duration) bool {
		now := start.Add(after)
		return d.claimIsDue(follow.Ownership{Known: true, ReadAt: now, Resigned: true, EndObservedAt: start}, now)
	}
	g.Expect(claims(0)).To(gomega.BeFalse())
	g.Expect(claims(maxClaimDelay)).To(gomega.BeFalse(), "the nodes that reach servers have claimed by then")
	g.Expect(claims(maxClaimDelay+partitionedClaimDelay)).To(gomega.BeTrue(), "no other node has claimed")
}

// A node that reads the store reports what it read; another one passes on what it was notified of.
func TestPartitionedNodeReportsThatALessorIsNeeded(t *testing.T) {
	g := gomega.NewWithT(t)
	partitioned := true
	d := New()
	d.IsPartitioned = func(site.ServiceName) bool { return partitioned }
	d.State = view.NewState()
	d.Reader = new(follow.Reader)
	setKeyedService(d)
	g.Expect(d.NeedsLessor()).To(gomega.BeFalse())
	d.Reader.NoteLessorNeeded(true)
	g.Expect(d.NeedsLessor()).To(gomega.BeTrue())
	partitioned = false
	g.Expect(d.NeedsLessor()).To(gomega.BeFalse(), "it may claim the lease itself")
}
