package follower_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func TestContactIsFreshWhileTheLogIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		time.Sleep(time.Second)
		for range 50 {
			time.Sleep(37 * time.Millisecond)
			s.g.Expect(time.Since(a.LastContact())).To(gomega.BeNumerically("<=", 2*follower.DefaultPollWait))
		}
		lost := time.Now()
		s.g.Expect(a.Failing()).To(gomega.BeFalse())
		a.log.Down()
		time.Sleep(10 * time.Minute)
		s.g.Expect(a.LastContact()).NotTo(gomega.BeTemporally(">", lost))
		s.g.Expect(a.Failing()).To(gomega.BeTrue())
		a.log.Heal()
		time.Sleep(settle)
		s.g.Expect(a.Failing()).To(gomega.BeFalse())
		s.g.Expect(time.Since(a.LastContact())).To(gomega.BeNumerically("<=", 2*follower.DefaultPollWait))
	})
}

// Contact is measured from the start of a read, however slow the response is.
func TestContactTimeIsTheStartOfASlowRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		time.Sleep(time.Second)
		a.log.Set(logfault.Faults{Slow: 3 * time.Second})
		time.Sleep(time.Minute)
		for range 20 {
			time.Sleep(time.Second)
			s.g.Expect(time.Since(a.LastContact())).To(gomega.BeNumerically(">=", 3*time.Second))
			s.g.Expect(time.Since(a.LastContact())).To(gomega.BeNumerically("<=", 15*time.Second))
		}
	})
}

func TestFollowingUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  logfault.Faults
		contact bool // contact with the log is kept; otherwise only peers are read
	}{
		{"log down for this node", logfault.Faults{ReadsDown: true, AppendsDown: true}, false},
		{"log unresponsive for this node", logfault.Faults{Unresponsive: true}, false},
		{"log slow", logfault.Faults{Slow: 2 * time.Second}, true},
		{"entries read again", logfault.Faults{Repeat: 7}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, memlog.Retention{})
				a, b, healthy := s.start("a"), s.start("b"), s.start("c")
				s.submit(healthy, join("before"))
				time.Sleep(settle)
				a.log.Set(c.faults)
				b.log.Set(c.faults)
				time.Sleep(settle)
				for _, name := range []string{"x", "y", "z"} {
					outcome := s.submit(healthy, join(name))
					s.g.Expect(a.WaitApplied(s.within(settle), outcome.Offset)).To(gomega.Succeed())
					s.g.Expect(b.WaitApplied(s.within(settle), outcome.Offset)).To(gomega.Succeed())
				}
				time.Sleep(2 * settle)
				s.g.Expect(time.Since(a.LastContact()) < 2*settle).To(gomega.Equal(c.contact))
				a.log.Heal()
				b.log.Heal()
				s.submit(a, join("after"))
				s.sameState(a, b, healthy)
			})
		})
	}
}

// A process that starts while the log is down restores the newest state that it
// can reach, and a stale peer never moves it back.
func TestStartWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		stale := s.start("a-stale")
		fresh := s.start("b-fresh")
		s.submit(fresh, publish(0))
		time.Sleep(settle)
		stale.log.Down()
		s.network.Isolate("a-stale")
		outcome := s.submit(fresh, publish(1))
		time.Sleep(settle)
		s.g.Expect(stale.View().SiteVersion()).To(gomega.Equal(uint64(1)))
		fresh.log.Down()
		s.network.Set("a-stale", "c-new", peermem.Fault{})
		s.network.Set("c-new", "a-stale", peermem.Fault{})

		started := s.start("c-new", withLogDown)
		last := topo.Offset(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			now := started.View().Applied()
			s.g.Expect(now).To(gomega.BeNumerically(">=", last))
			last = now
		}
		s.g.Expect(last).To(gomega.Equal(outcome.Offset))
		s.g.Expect(started.View().SiteVersion()).To(gomega.Equal(uint64(2)))
		s.g.Expect(started.LastContact().IsZero()).To(gomega.BeTrue(), "reading from peers is no contact with the log")
	})
}

// A peer that no longer has the requested entries sends its whole state instead.
func TestPeersSendASnapshotWhenEntriesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a", noCheckpoints)
		for range 1500 {
			s.put("x@b1", 1, join("x"))
		}
		for i := range 4200 {
			s.put("y@b1", uint64(i+1), join("y"))
		}
		time.Sleep(settle)
		b := s.start("b", withLogDown)
		s.sameState(a, b)
		s.g.Expect(b.View().Applied()).To(gomega.Equal(topo.Offset(5700)))
	})
}

func TestEntriesOfNewerFormatsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		for _, data := range [][]byte{{0x08, 0x09}, {0xff}, nil} {
			_, err := s.store.Append(t.Context(), data)
			s.g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		a := s.start("a")
		outcome := s.submit(a, join("a"))
		s.g.Expect(outcome.Offset).To(gomega.Equal(topo.Offset(4)))
	})
}

// A log that ends before the last applied record renews no contact and does not
// revert the state.
func TestLogThatLostItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		rewound := memlog.New(memlog.Retention{})
		var now swappableLog
		now.set(s.store)
		var lines bytes.Buffer
		a := s.start("a", func(c *follower.Config, _ *logfault.Log) {
			c.Log = &now
			c.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines})
		})
		s.submit(a, join("a"))
		s.submit(a, join("b"))
		time.Sleep(time.Second)
		now.set(rewound)
		swappedAt := time.Now()
		time.Sleep(time.Minute)
		s.g.Expect(a.View().Applied()).To(gomega.Equal(topo.Offset(2)))
		s.g.Expect(a.LastContact()).NotTo(gomega.BeTemporally(">", swappedAt))
		a.Stop()
		s.g.Expect(lines.String()).To(gomega.ContainSubstring("event=1211"))
	})
}

func TestDumpDescribesTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		s.g.Expect(a.Dump(time.Now()).ContactAgeMs).To(gomega.Equal(int64(-1)))
		s.submit(a, publish(0))
		time.Sleep(settle)
		dump := a.Dump(time.Now())
		s.g.Expect(dump.Applied).To(gomega.Equal(topo.Offset(1)))
		s.g.Expect(dump.ContactAgeMs).To(gomega.BeNumerically(">=", 0))
		s.g.Expect(dump.Services).To(gomega.Equal([]follower.ServiceDump{{Service: "wells", Shards: 4}}))
	})
}

func TestServedReadsAreBoundedAndWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, memlog.Retention{})
		a := s.start("a")
		for i := range 600 {
			s.put("x@b1", uint64(i+1), join("x"))
		}
		time.Sleep(settle)
		caller := s.network.Join(&bspb.Sender{Node: "z", Boot: "b1"}, nil)
		read := func(from uint64, wait time.Duration) *bspb.ReadLogResponse {
			answer, err := caller.ReadLog(s.within(settle), "a", &bspb.ReadLogRequest{
				From: from, Max: 1 << 20, WaitMs: uint32(wait.Milliseconds()),
			})
			s.g.Expect(err).NotTo(gomega.HaveOccurred())
			return answer
		}
		s.g.Expect(len(read(1, 0).GetEntries())).To(gomega.Equal(512))
		begun := time.Now()
		s.g.Expect(read(601, time.Second).GetEntries()).To(gomega.BeEmpty())
		s.g.Expect(time.Since(begun)).To(gomega.Equal(time.Second))
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.submit(a, join("y"))
		}()
		s.g.Expect(read(601, time.Second).GetEntries()).To(gomega.HaveLen(1))

		// A reused snapshot is sent only to callers that it advances.
		for _, beyond := range []topo.Offset{0, 600, 601} {
			chunks, err := caller.FetchSnapshot(s.within(settle), "a", beyond)
			s.g.Expect(err).NotTo(gomega.HaveOccurred())
			s.g.Expect(len(chunks) > 0).To(gomega.Equal(beyond < 601))
		}
		outcome := s.submit(a, join("z"))
		chunks, err := caller.FetchSnapshot(s.within(settle), "a", 601)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		s.g.Expect(chunks[0].GetApplied()).To(gomega.BeEquivalentTo(outcome.Offset))
	})
}
