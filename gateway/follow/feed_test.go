package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func member(name string) view.Member {
	return view.Member{Node: name, Boot: "boot-" + name, Zone: "a", Address: name + ":1"}
}

func namesOf(list []view.Member) []string {
	names := make([]string, 0, len(list))
	for _, m := range list {
		names = append(names, m.Node)
	}
	return names
}

func newFeedOf(name string, isLessor bool) *Feed {
	return NewFeed(member(name), view.NewState(), new(Contact), func() bool { return isLessor })
}

// The lessor divides the servers' limits and the retry budget among all nodes, so it must
// also know the nodes that follow a relay.
func TestLessorKnowsNodesThatFollowRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	feed := newFeedOf("lessor", true)
	followers := []view.Member{member("x"), member("y")}
	msg := &bspb.FollowRequest{Member: memberMessage(member("relay")), FollowersHash: view.HashMembers(followers)}
	g.Expect(feed.noteFollower(msg)).NotTo(gomega.Equal(msg.FollowersHash), "the relay must send its followers")
	msg.Followers = memberMessages(followers)
	g.Expect(feed.noteFollower(msg)).To(gomega.Equal(msg.FollowersHash))
	msg.Followers = nil
	g.Expect(feed.noteFollower(msg)).To(gomega.Equal(msg.FollowersHash), "but not repeatedly")
	g.Expect(namesOf(feed.Members())).To(gomega.Equal([]string{"lessor", "relay", "x", "y"}))
	g.Expect(namesOf(feed.Followers())).To(gomega.Equal([]string{"relay", "x", "y"}))

	msg.Member.Boot = "started again"
	g.Expect(feed.noteFollower(msg)).To(gomega.BeZero(), "a new incarnation of the relay has other followers")
	g.Expect(namesOf(feed.Members())).To(gomega.Equal([]string{"lessor", "relay"}))
}

// Followers of a relay must notice in time that its data has become old: the relay responds
// at once, and not at the end of their wait.
func TestFollowersAreNotifiedAtOnceOfLostContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed := newFeedOf("relay", false)
		feed.Contact.NotePeerReport(clock.Now().Add(-maxRelayContactAge+100*time.Millisecond), 0)
		startedAt := time.Now()
		ask := func() *bspb.FollowReply {
			reply, err := feed.Follow(context.Background(), connect.NewRequest(&bspb.FollowRequest{WaitMs: 500}))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return reply.Msg
		}
		reply := ask()
		g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("~", 100*time.Millisecond, 5*time.Millisecond))
		g.Expect(reply.HeldMs).To(gomega.BeNumerically("~", 100, 5))
		ask()
		g.Expect(time.Since(startedAt)).To(gomega.BeNumerically(">=", 500*time.Millisecond), "early only once: old contact must not cause calls without a pause")
	})
}

func TestRelayForwardsReports(t *testing.T) {
	g := gomega.NewWithT(t)
	reports := NewReports()
	reports.CountKey("s", 7)
	reports.NoteResponse("i", 100*time.Millisecond, &site.Load{Running: 2, Waiting: 1})
	reports.Merge(Report{
		KeyCounts: []*bspb.KeyCounts{{Service: "s", Keys: []uint32{7, 8}, Requests: []uint32{2, 5}}},
		Paces:     []*bspb.ServerPace{{Server: "i", MeanUs: 300_000, Answers: 2, Present: 7}},
	})
	report := reports.Drain()
	counts := map[uint32]uint32{}
	for i, key := range report.KeyCounts[0].Keys {
		counts[key] = report.KeyCounts[0].Requests[i]
	}
	g.Expect(counts).To(gomega.Equal(map[uint32]uint32{7: 3, 8: 5}))
	g.Expect(report.Paces[0].MeanUs).To(gomega.Equal(uint64(200_000)))
	g.Expect(report.Paces[0].Answers).To(gomega.Equal(uint32(3)))
	g.Expect(report.Paces[0].Present).To(gomega.Equal(uint32(10)))
}

// The data of a delayed reply is older than its arrival: the time in flight is part of its
// age.
func TestContactAgeIncludesTimeInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		startedAt := clock.Now()
		time.Sleep(700 * time.Millisecond)
		at := contactTime(&bspb.FollowReply{ContactAgeMs: 200, HeldMs: 400}, startedAt)
		g.Expect(clock.Since(at)).To(gomega.BeNumerically("~", 500*time.Millisecond, 5*time.Millisecond))
	})
}
