package follower_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func TestSubmitIsVisibleWhenItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a, b := s.start("a"), s.start("b")
		outcome := s.submit(a, join("a"))
		s.g.Expect(outcome).To(gomega.Equal(follower.Outcome{Offset: 1, Accepted: true}))
		s.g.Expect(hasNode(a, "a")).To(gomega.BeTrue())
		s.g.Expect(b.WaitApplied(s.within(settle), outcome.Offset)).To(gomega.Succeed())
		s.g.Expect(hasNode(b, "a")).To(gomega.BeTrue())
	})
}

func TestTwoPublishersGetOneAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		var running sync.WaitGroup
		outcomes := make([]follower.Outcome, 2)
		for i, m := range []*member{s.start("a"), s.start("b")} {
			running.Go(func() { outcomes[i], _ = m.Submit(s.within(settle), publish(0)) })
		}
		running.Wait()
		s.g.Expect(outcomes[0].Accepted).NotTo(gomega.Equal(outcomes[1].Accepted))
		s.g.Expect(outcomes[0].Conflict + outcomes[1].Conflict).To(gomega.ContainSubstring("base-version"))
	})
}

// Under each fault a submitted record takes effect once, or never if Submit fails
// with a *NotAppendedError. A later RemoveNode reveals copies appended after it.
func TestSubmitUnderFaults(t *testing.T) {
	cases := []struct {
		name        string
		faults      logfault.Faults
		notAppended bool // the error is *NotAppendedError
		appended    int  // copies in the log afterwards
	}{
		{"healthy", logfault.Faults{}, false, 1},
		{"down", logfault.Faults{AppendsDown: true}, true, 0},
		{"slow", logfault.Faults{Slow: 1500 * time.Millisecond}, false, 1},
		{"response lost", logfault.Faults{LoseAnswers: 1}, false, 1},
		{"responses lost repeatedly", logfault.Faults{LoseAnswers: 5}, false, 1},
		{"request lost", logfault.Faults{LoseRequests: 1}, false, 1},
		{"requests lost repeatedly", logfault.Faults{LoseRequests: 4}, false, 1},
		{"late", logfault.Faults{LateAppends: 1, LateBy: 2 * time.Second}, false, 2},
		{"late twice", logfault.Faults{LateAppends: 2, LateBy: 2 * time.Second}, false, 3},
		{"read again", logfault.Faults{Repeat: 3}, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, memlog.Retention{})
				a, b := s.start("a"), s.start("b")
				s.submit(b, join("b"))
				a.log.Set(c.faults)
				outcome, err := a.Submit(s.within(time.Minute), join("a"))
				a.log.Heal()
				var notAppended *follower.NotAppendedError
				s.g.Expect(errors.As(err, &notAppended)).To(gomega.Equal(c.notAppended))
				s.g.Expect(err != nil).To(gomega.Equal(c.notAppended))
				s.g.Expect(outcome.Accepted).To(gomega.Equal(!c.notAppended))
				if !c.notAppended {
					s.submit(b, remove("a"))
				}
				a.log.Settle()
				s.sameState(a, b)
				s.g.Expect(hasNode(a, "a")).To(gomega.BeFalse(), "a late copy took effect")
				s.g.Expect(s.copies("a")).To(gomega.Equal(c.appended))
			})
		})
	}
}

// copies counts the JoinNode records of a node in the log.
func (s *site) copies(name string) int {
	found := 0
	for _, rec := range s.records() {
		if rec.GetJoinNode().GetNode() == name {
			found++
		}
	}
	return found
}

// An abandoned record has no effect once its writer's next record has been
// applied, however late it is appended.
func TestAbandonedRecordIsFencedByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		s.submit(a, join("x"))
		a.log.Set(logfault.Faults{LateAppends: 1, LateBy: 10 * time.Second, LoseRequests: 1000})
		begun := time.Now()
		_, err := a.Submit(s.within(200*time.Millisecond), join("late"))
		var unknown *follower.UnknownOutcomeError
		s.g.Expect(errors.As(err, &unknown)).To(gomega.BeTrue())
		s.g.Expect(time.Since(begun)).To(gomega.Equal(200*time.Millisecond), "returned when its context ended")
		a.log.Heal()
		s.submit(a, remove("x"))
		a.log.Settle()
		time.Sleep(settle)
		s.g.Expect(s.copies("late")).To(gomega.Equal(1))
		s.g.Expect(hasNode(a, "late")).To(gomega.BeFalse())
	})
}

// A refused append proves nothing if an earlier copy may have been appended.
func TestRefusalAfterALostResponseIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		time.Sleep(time.Second)
		a.log.Set(logfault.Faults{LoseAnswers: 1, ReadsDown: true})
		ended := make(chan error, 1)
		go func() {
			_, err := a.Submit(s.within(time.Second), join("a"))
			ended <- err
		}()
		synctest.Wait()
		a.log.Down()
		var unknown *follower.UnknownOutcomeError
		s.g.Expect(errors.As(<-ended, &unknown)).To(gomega.BeTrue())
		a.log.Heal()
		time.Sleep(settle)
		s.g.Expect(hasNode(a, "a")).To(gomega.BeTrue())
	})
}

func TestAbandonedInTheQueueIsNotAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		a.log.Set(logfault.Faults{Unresponsive: true})
		go func() { _, _ = a.Submit(s.within(time.Second), join("first")) }()
		synctest.Wait()
		_, err := a.Submit(s.within(100*time.Millisecond), join("second"))
		var notAppended *follower.NotAppendedError
		s.g.Expect(errors.As(err, &notAppended)).To(gomega.BeTrue())
		s.g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
		a.log.Heal()
		time.Sleep(settle)
		s.g.Expect(s.copies("second")).To(gomega.Equal(0))
	})
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		a.log.Set(logfault.Faults{Unresponsive: true})
		refused := make(chan bool, 400)
		for range cap(refused) {
			go func() {
				_, err := a.Submit(s.within(time.Second), join("x"))
				var full *follower.QueueFullError
				refused <- errors.As(err, &full)
			}()
		}
		total := 0
		for range cap(refused) {
			if <-refused {
				total++
			}
		}
		s.g.Expect(total).To(gomega.BeNumerically(">", 100))
	})
}

func TestStopEndsSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		a.log.Set(logfault.Faults{Unresponsive: true})
		ended := make(chan error, 1)
		go func() {
			_, err := a.Submit(context.Background(), join("x"))
			ended <- err
		}()
		synctest.Wait()
		a.Stop()
		var unknown *follower.UnknownOutcomeError
		s.g.Expect(errors.As(<-ended, &unknown)).To(gomega.BeTrue())
		_, err := a.Submit(context.Background(), join("x"))
		var notAppended *follower.NotAppendedError
		s.g.Expect(errors.As(err, &notAppended)).To(gomega.BeTrue())
	})
}

// Queued assignments share one append, and each submitter gets the outcome of its
// own assignments.
func TestAssignmentsShareAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		s.submit(a, publish(0))
		s.submit(a, &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
			Upsert: []*bspb.ServerEntry{{Id: "v", Service: "wells", Phase: bspb.ServerPhase_SERVER_PHASE_LIVE}},
		}}})
		a.log.Set(logfault.Faults{Slow: 500 * time.Millisecond})
		var running sync.WaitGroup
		outcomes := make([]follower.Outcome, 5)
		for i := range outcomes {
			running.Go(func() { outcomes[i], _ = a.Submit(s.within(settle), assignTwo(i)) })
			synctest.Wait()
		}
		running.Wait()
		offsets := map[topo.Offset]bool{}
		for i, outcome := range outcomes {
			offsets[outcome.Offset] = true
			s.g.Expect(outcome.Accepted).To(gomega.Equal(i < 4))
			s.g.Expect(outcome.RejectedShards).To(gomega.Equal(map[bool][]int{true: {1}, false: {0, 1}}[i < 4]))
		}
		s.g.Expect(offsets).To(gomega.HaveLen(2), "the first by itself, the others in one record")
		for i := range uint32(4) {
			owned, _ := a.View().Shard(topo.ShardID{Service: "wells", Index: i})
			s.g.Expect(owned.Owner).To(gomega.Equal(topo.ServerID("v")))
		}
	})
}

// assignTwo assigns the i-th of four shards, and a shard that does not exist.
func assignTwo(i int) *bspb.Record {
	assignment := func(index int) *bspb.Assignment {
		return &bspb.Assignment{Shard: &bspb.ShardRef{Service: "wells", Index: uint32(index)}, Owner: "v"}
	}
	return &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: &bspb.AssignShards{
		Assignments: []*bspb.Assignment{assignment(i), assignment(9)},
	}}}
}

var _ state.Source = (*follower.Follower)(nil)
