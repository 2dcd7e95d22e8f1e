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

func (b *bench) spans() []span {
	var spans []span
	for _, interval := range history.Select[history.OwnerInterval](b.recorded.Events()) {
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
	b := newBench(t, Config{})
	b.grant(granted(fence))
	b.advance(600 * ms)
	b.grant(granted(fence)) // renewed in time: one interval
	b.advance(1200 * ms)    // lapses at 1600
	b.grant(granted(fence)) // from 1800
	b.advance(100 * ms)
	b.grant() // revoked at 1900
	b.advance(100 * ms)
	higher := topo.MakeFence(20, 0)
	b.grant(granted(higher)) // from 2000
	b.advance(100 * ms)
	b.FlushHistory() // up to 2100
	b.advance(100 * ms)
	b.Kill() // at 2200
	g.Expect(b.spans()).To(gomega.Equal([]span{
		{"licensing/1", fence, 0, 1600},
		{"licensing/1", fence, 1800, 1900},
		{"licensing/1", higher, 2000, 2100},
		{"licensing/1", higher, 2100, 2200},
	}))
}

func TestRunsInFlightKeepTheirKeyAfterTheRevocation(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, Config{})
	b.grant(granted(fence))
	run := b.current()
	claim, _, err := run.begin(serveRequest{shard: shard, fence: fence, key: "bore 7"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b.advance(100 * ms)
	g.Expect(b.grant().Busy).To(gomega.Equal([]string{"licensing/1", "licensing/1/bore 7"}))
	b.advance(100 * ms)
	_, err = run.recheck(claim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	run.end(claim)
	b.advance(100 * ms)
	b.FlushHistory()
	g.Expect(b.spans()).To(gomega.Equal([]span{
		{"licensing/1", fence, 0, 100},
		{"licensing/1/bore 7", fence, 100, 200},
	}))
}

func TestDriftingClockIsMappedToTheSharedOne(t *testing.T) {
	for _, drift := range []int{200, -200, 50_000} {
		g := gomega.NewWithT(t)
		b := newBench(t, Config{DriftPPM: drift})
		run := b.current()
		b.advance(1_234_567_891)
		g.Expect(run.shared(run.now())).To(gomega.BeNumerically("~", b.clock.Load(), 2))
		b.grant(serverapi.Grant{Shard: shard.String(), Fence: fence.String()})
		b.advance(5 * leaseTTL)
		b.FlushHistory()
		spans := history.Select[history.OwnerInterval](b.recorded.Events())
		g.Expect(spans).To(gomega.HaveLen(1))
		length := spans[0].Until.Sub(spans[0].From)
		want := leaseTTL - leaseTTL*time.Duration(drift)/(partsPerMillion+time.Duration(drift))
		g.Expect(length).To(gomega.BeNumerically("~", want, 3))
	}
}
