package follow

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Limits reach all nodes with the calls between them: from a follower to its relay, and back to others.
func TestLimitsOfServersReachAllNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	newState := func() *view.State {
		state := view.NewState()
		state.MergeServers(view.Servers{Offset: 1, Servers: map[site.ServerID]site.Server{"i": {ID: "i"}, "k": {ID: "k"}}})
		return state
	}
	observer, relay, other := newState(), newState(), newState()
	observeNotice := ObserveNotices(observer, hclog.NewNullLogger())
	observe := func(server site.ServerID, limit site.NamedLimit) { observeNotice(server, site.Notice{Limit: &limit}) }
	observe("i", site.NamedLimit{Rate: 1.1, IsNamed: true, At: now.Add(-2 * time.Second)})
	observe("k", site.NamedLimit{Rate: 7, IsNamed: true, At: now.Add(-time.Second)})
	observe("k", site.NamedLimit{At: now})
	pass := func(from, to *view.State) {
		mergeLimits(to, hclog.NewNullLogger(), limitsOf(limitMessages(from.Now().Limits.Without(to.Now().Limits.Valid(now), now))), "node")
	}
	pass(observer, relay)
	pass(relay, other)
	g.Expect(limitMessages(relay.Now().Limits.Without(other.Now().Limits.Valid(now), now))).To(gomega.BeEmpty(), "the other node has them")
	limit, isNamed := other.Now().Limits.Of("", "i")
	g.Expect(isNamed).To(gomega.BeTrue())
	g.Expect(limit.Rate).To(gomega.Equal(1.1))
	g.Expect(time.Since(limit.At)).To(gomega.BeNumerically("~", 2*time.Second, time.Second), "its age travels along")
	_, isNamed = other.Now().Limits.Of("", "k")
	g.Expect(isNamed).To(gomega.BeFalse(), "lifted")
	mergeLimits(other, hclog.NewNullLogger(), limitsOf(new(bspb.FollowReply).Limits), "node of an earlier release")
	_, isNamed = other.Now().Limits.Of("", "i")
	g.Expect(isNamed).To(gomega.BeTrue(), "a node that sends none lifts none")
}
