package server

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

const ms = time.Millisecond

// span is an interval in milliseconds.
type span struct {
	shard string
	fence topo.Fence
	from  int64
	until int64
}

func (s *testServer) spans() []span {
	var spans []span
	for _, interval := range history.Select[history.OwnerInterval](s.recorded.Events()) {
		spans = append(spans, span{
			shard: interval.Shard.String(), fence: interval.Fence,
			from:  int64(interval.From) / int64(ms),
			until: int64(interval.Until) / int64(ms),
		})
	}
	return spans
}

func TestOwnerIntervalsFollowLeaseAndGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	s.advance(600 * ms)
	s.grant(granted(fence)) // renewed in time: one interval
	s.advance(1200 * ms)    // expires at 1600
	s.grant(granted(fence)) // from 1800
	s.advance(100 * ms)
	s.grant() // revoked at 1900
	s.advance(100 * ms)
	higher := topo.MakeFence(20, 0)
	s.grant(granted(higher)) // from 2000
	s.advance(100 * ms)
	s.FlushHistory() // up to 2100
	s.advance(100 * ms)
	s.Kill() // at 2200
	g.Expect(s.spans()).To(gomega.Equal([]span{
		{"licensing/1", fence, 0, 1600},
		{"licensing/1", fence, 1800, 1900},
		{"licensing/1", higher, 2000, 2100},
		{"licensing/1", higher, 2100, 2200},
	}))
}

func TestRunsInFlightKeepTheirKeyAfterTheRevocation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, Config{})
	s.grant(granted(fence))
	inc := s.current()
	claim, _, err := inc.begin(serveRequest{shard: shard, fence: fence, key: "bore 7"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.advance(100 * ms)
	g.Expect(s.grant().Busy).To(gomega.Equal([]string{"licensing/1", "licensing/1/bore 7"}))
	s.advance(100 * ms)
	_, err = inc.recheck(claim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	inc.end(claim)
	s.advance(100 * ms)
	s.FlushHistory()
	g.Expect(s.spans()).To(gomega.Equal([]span{
		{"licensing/1", fence, 0, 100},
		{"licensing/1/bore 7", fence, 100, 200},
	}))
}

func TestDriftingClockIsMappedToTheSharedOne(t *testing.T) {
	for _, drift := range []int{200, -200, 50_000} {
		g := gomega.NewWithT(t)
		s := newTestServer(t, Config{DriftPPM: drift})
		inc := s.current()
		s.advance(1_234_567_891)
		g.Expect(inc.sharedTime(inc.now())).To(gomega.BeNumerically("~", s.clock.Load(), 2))
		s.grant(serverapi.Grant{Shard: shard.String(), Fence: fence.String()})
		s.advance(5 * leaseTTL)
		s.FlushHistory()
		spans := history.Select[history.OwnerInterval](s.recorded.Events())
		g.Expect(spans).To(gomega.HaveLen(1))
		length := spans[0].Until.Sub(spans[0].From)
		want := leaseTTL - leaseTTL*time.Duration(drift)/(partsPerMillion+time.Duration(drift))
		g.Expect(length).To(gomega.BeNumerically("~", want, 3))
	}
}
