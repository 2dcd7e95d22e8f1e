package proof_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/demo"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

const (
	leaveLimit = 45 * time.Second // for a server's shards to move, on a busy machine
	leavePoll  = 50 * time.Millisecond
)

// ownedBy counts the shards that a server owns in the view of the first running node; -1 if there is no view.
func (r *run) ownedBy(id topo.ServerID) int {
	view, err := r.View()
	if err != nil || view.Site() == nil {
		return -1
	}
	count := 0
	for service := range view.Site().Services {
		view.EachShard(service, func(a state.Assignment) bool {
			if a.Owner == id {
				count++
			}
			return true
		})
	}
	return count
}

// longTimeout is longer than any pause of a busy machine. In tests without faults,
// only such a pause could make a lease or a deadline expire, and these tests
// must not depend on it.
const longTimeout = 30 * time.Second

// plannedSite returns a small site whose timeouts do not mistake a slow machine for a fault.
func plannedSite() demo.SiteOptions {
	options := smallSiteWith("", fmt.Sprintf("%q: %q,", "deadline", longTimeout))
	options.Adjust = func(s *settings.Settings) {
		s.Timing.LeaseTTL = longTimeout
		s.Timing.SuspectAfter = longTimeout / 2
		s.Limits.StallTimeout = longTimeout
		s.Servers.Options = map[string]any{"controlSilentAfterMs": float64((longTimeout / 4).Milliseconds())}
	}
	return options
}

// A server that leaves must hand over all its shards while the
// load continues, and must run no request afterwards.
func TestLeavingServers(t *testing.T) {
	for name, leave := range map[string]func(r *run, one *demo.SiteServer){
		"by the VM list":    func(r *run, one *demo.SiteServer) { r.Platform.SetPhase(string(one.ID), vmlist.PhaseLeaving) },
		"by its own report": func(_ *run, one *demo.SiteServer) { one.Drain(true) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, r := startRun(t, plannedSite())
			one := r.owners(1)[0]
			var left history.Time
			summary := r.exerciseWithLongDeadlines(ctx, func(ctx context.Context, r *run) {
				pause(ctx, settle)
				leave(r, one)
				gomega.NewWithT(t).Eventually(func() int { return r.ownedBy(one.ID) }).
					WithContext(ctx).WithTimeout(leaveLimit).WithPolling(leavePoll).Should(gomega.BeZero())
				r.WaitSettled(ctx)
				left = r.Clock()
				pause(ctx, settle) // load after the server has left
			}, one)
			g := gomega.NewWithT(t)
			for _, began := range history.Select[history.RunBegan](r.Memory.Events()) {
				late := began.Server == one.ID && began.At > left
				g.Expect(late).To(gomega.BeFalse(), "server ran %s after it had left", began.RequestID)
			}
			g.Expect(summary.Unknown).To(gomega.BeZero(), "a planned move left an outcome unknown: %+v", r.unknown())
		})
	}
}

// An entry node that drains under load must
// finish the requests that it has begun, so that no caller sees a broken connection.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	ctx, r := startRun(t, plannedSite())
	one := r.owners(1)[0]
	draining := r.lessorOf(one)
	r.exerciseWithLongDeadlines(ctx, func(ctx context.Context, r *run) {
		pause(ctx, settle)
		gomega.NewWithT(t).Expect(r.ShutDownNode(ctx, draining)).To(gomega.Succeed())
	}, one)
	gomega.NewWithT(t).Expect(r.unknown()).To(gomega.BeEmpty())
}

// unknown returns the answers with an unknown outcome.
func (r *run) unknown() []history.CallerAnswered {
	var found []history.CallerAnswered
	for _, answer := range history.Select[history.CallerAnswered](r.Memory.Events()) {
		if answer.Outcome == serverapi.OutcomeUnknown {
			found = append(found, answer)
		}
	}
	return found
}
