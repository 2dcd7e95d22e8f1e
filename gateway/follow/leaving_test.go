package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// newLeavingFollower returns a follower with a view of its own.
func newLeavingFollower(name string) *Follower {
	return &Follower{Self: member(name), State: view.NewState(), Logger: hclog.NewNullLogger(), leaving: map[string]leavingExchange{}}
}

// exchangeLeaving makes a follower's call to a feed, as far as it concerns leaving servers, and returns the
// sizes of the messages in bytes.
func exchangeLeaving(f *Follower, feed *Feed) (requested, replied int) {
	request := &bspb.FollowRequest{Member: memberMessage(f.Self)}
	sent := f.addLeaving(request, feed.Self.Address)
	mergeLeaving(feed.State, hclog.NewNullLogger(), leavingOf(request.Leaving, request.Member.Node))
	reply := &bspb.FollowReply{}
	feed.addLeaving(reply, request, feed.State.Now())
	f.mergeLeaving(reply, feed.Self.Address, sent)
	return proto.Size(request), proto.Size(reply)
}

// leave makes a node receive an answer in which a server says that it leaves.
func leave(state *view.State, id site.ServerID) {
	ObserveNotices(state, hclog.NewNullLogger())(id, site.Notice{IsLeaving: true})
}

// Guards against each node having to find out by itself that a server leaves: one node's answer reaches all,
// from a follower to its relay and the lessor, and back to others, also to one that starts later.
func TestLeavingServersReachAllNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	observer, relay, other, late := newLeavingFollower("observer"), newLeavingFollower("relay"), newLeavingFollower("other"), newLeavingFollower("late")
	relayFeed := NewFeed(relay.Self, relay.State, new(Contact), func() bool { return false })
	lessor := newFeedOf("lessor", true)
	leave(observer.State, "i")
	exchangeLeaving(observer, relayFeed)
	exchangeLeaving(relay, lessor)
	exchangeLeaving(other, lessor)
	exchangeLeaving(late, relayFeed)
	for _, state := range []*view.State{relay.State, lessor.State, other.State, late.State} {
		g.Expect(state.Now().Leaving.Contains("i")).To(gomega.BeTrue())
	}
	late.mergeLeaving(&bspb.FollowReply{}, "node of an earlier release", 0)
	g.Expect(late.State.Now().Leaving.Contains("i")).To(gomega.BeTrue(), "a node that sends none takes none back")
}

// Guards against a node that lacks leaving servers for good, because it or the node that it follows was
// started again.
func TestLeavingServersAreSentAgainToANewIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	follower, feed := newLeavingFollower("follower"), newFeedOf("lessor", true)
	leave(follower.State, "i")
	leave(feed.State, "k")
	exchangeLeaving(follower, feed)
	next := newFeedOf("lessor", true)
	next.Self.Boot = "next boot"
	exchangeLeaving(follower, next) // it has no list yet, and the follower finds out that it was started again
	exchangeLeaving(follower, next)
	g.Expect(next.State.Now().Leaving.Contains("i")).To(gomega.BeTrue())
	g.Expect(next.State.Now().Leaving.Contains("k")).To(gomega.BeTrue())
	again := newLeavingFollower("follower")
	exchangeLeaving(again, next)
	g.Expect(again.State.Now().Leaving.Contains("i")).To(gomega.BeTrue())
}

// Guards against messages that grow with the number of leaving servers: during a release on a large site, each
// call carries only what the other node has not been sent.
func TestOnlyNewLeavingServersAreSent(t *testing.T) {
	for _, nodes := range []int{8, 68, 295} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			lessor := newFeedOf("lessor", true)
			followers := make([]*Follower, nodes)
			for i := range followers {
				followers[i] = newLeavingFollower(fmt.Sprint("node", i))
			}
			const servers = 300
			for i := range servers {
				leave(followers[i%nodes].State, site.ServerID(fmt.Sprintf("i-%010d@server", i)))
			}
			total := 0
			for range 2 { // what a node has observed, and what the others have
				for _, f := range followers {
					requested, replied := exchangeLeaving(f, lessor)
					total += requested + replied
				}
			}
			const entryBytes, callBytes = 40, 100
			g.Expect(total).To(gomega.BeNumerically("<", nodes*(servers*entryBytes+4*callBytes)), "each node gets each server once")
			for _, f := range followers {
				g.Expect(f.State.Now().Leaving.Next()).To(gomega.Equal(uint64(servers)))
				requested, replied := exchangeLeaving(f, lessor)
				g.Expect(requested+replied).To(gomega.BeNumerically("<", 2*callBytes), "nothing is new")
			}
		})
	}
}

// A node that asks is answered at once when a server leaves that it does not know of.
func TestFollowersAreNotifiedAtOnceOfALeavingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	feed := newFeedOf("lessor", true)
	request := &bspb.FollowRequest{Member: memberMessage(member("follower")), LeavingBoot: feed.Self.Boot}
	g.Expect(feed.hasNewer(request)).To(gomega.BeFalse())
	feed.State.MergeLeaving([]view.LeavingServer{{Server: "i", At: time.Now()}})
	g.Expect(feed.hasNewer(request)).To(gomega.BeTrue())
	request.LeavingNext = 1
	g.Expect(feed.hasNewer(request)).To(gomega.BeFalse())
}
