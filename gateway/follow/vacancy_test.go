package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// The nodes that read the store could grant nothing, and the others, which could, did not read it.
// Few of the nodes of a zone do, the first of them in time for a claim within two seconds.
func TestFollowersReadWhenALessorIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reading := func(rank int, isPartitioned bool) bool {
			r := &Reader{Contact: new(Contact), StartedAt: clock.Now(), CanGrantNothing: func() bool { return isPartitioned }}
			r.SetReadPriority(ReadPriority{Rank: rank})
			r.NoteLessorNeeded(true)
			time.Sleep(time.Second)
			r.Contact.NotePeerReport(clock.Now(), 1)
			return r.mustRead()
		}
		g.Expect(reading(1, false)).To(gomega.BeTrue())
		g.Expect(reading(1, true)).To(gomega.BeFalse(), "it could grant nothing either")
		count := 0
		for rank := 1; rank < 100; rank++ {
			if reading(rank, false) {
				count++
			}
		}
		g.Expect(count).To(gomega.BeNumerically("<=", 10))
	})
}

func TestFollowersDoNotReadOnceThereIsALessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := &Reader{Contact: new(Contact), StartedAt: clock.Now()}
		r.SetReadPriority(ReadPriority{Rank: 1})
		r.Contact.NotePeerReport(clock.Now(), 1)
		g.Expect(r.mustRead()).To(gomega.BeFalse())
		r.NoteLessorNeeded(true)
		g.Expect(r.mustRead()).To(gomega.BeFalse(), "nodes that read may claim first")
		time.Sleep(vacancyDelay + vacancyRankDelay)
		g.Expect(r.mustRead()).To(gomega.BeTrue())
		r.NoteLessorNeeded(false)
		g.Expect(r.mustRead()).To(gomega.BeFalse())
		r.NoteLessorNeeded(true)
		r.SetLessor(true)
		r.SetLessor(false)
		g.Expect(r.IsLessorNeeded()).To(gomega.BeFalse(), "this node was the lessor meanwhile")
	})
}

func TestFollowersAreNotifiedThatALessorIsNeeded(t *testing.T) {
	g := gomega.NewWithT(t)
	feed := NewFeed(view.Member{Node: "n"}, view.NewState(), new(Contact), func() bool { return false })
	for _, isNeeded := range []bool{true, false} {
		feed.NeedsLessor = func() bool { return isNeeded }
		reply, err := feed.reply(new(bspb.FollowRequest))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.NeedsLessor).To(gomega.Equal(isNeeded))
	}
}
