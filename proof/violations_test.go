package proof_test

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/demo"
	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/standin/server"
)

// violationCases are sites whose servers violate a rule. The checkers must detect it;
// otherwise passing checks of the other cases are no evidence.
var violationCases = []struct {
	name   string
	rule   histcheck.Rule
	faults func(ctx context.Context, r *run, one *demo.SiteServer)
	counts func(demo.Summary) int
}{
	{
		name: "servers serve without owning",
		rule: histcheck.RuleSoleOwner,
		faults: func(ctx context.Context, r *run, one *demo.SiteServer) {
			r.injectServerFaults(server.Faults{IgnoreFences: true})
			one.Freeze() // requests in flight run after other servers have taken over
			pause(ctx, pastLease)
			one.Unfreeze()
		},
		counts: func(s demo.Summary) int { return s.DualOwner },
	},
	{
		name: "servers run repeated tickets again",
		rule: histcheck.RuleAtMostOnce,
		faults: func(ctx context.Context, r *run, _ *demo.SiteServer) {
			r.injectServerFaults(server.Faults{IgnoreTickets: true, LoseRatio: 0.5})
			pause(ctx, pastLease)
			r.injectServerFaults(server.Faults{IgnoreTickets: true})
		},
		counts: func(s demo.Summary) int { return s.DoubleRun },
	},
}

// injectServerFaults injects the same faults into every server.
func (r *run) injectServerFaults(faults server.Faults) {
	for _, one := range r.Servers {
		one.SetFaults(faults)
	}
}

func TestServerViolationsAreDetected(t *testing.T) {
	for _, row := range violationCases {
		t.Run(row.name, func(t *testing.T) {
			ctx, r := startRun(t, smallSite())
			one := r.owners(1)[0]
			load := demo.Load{Requests: requests, Seed: seed, Span: loadSpan, Probed: demo.Spread(r.keys, one)}
			_, err := r.Exercise(ctx, load, func(ctx context.Context) {
				pause(ctx, settle)
				row.faults(ctx, r, one)
			})
			g := gomega.NewWithT(t)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			nodes := r.WaitSettled(ctx)
			r.Stop()
			summary, found := r.Evaluate(nodes)
			g.Expect(histcheck.Count(found, row.rule)).To(gomega.BeNumerically(">", 0))
			g.Expect(row.counts(summary)).To(gomega.BeNumerically(">", 0))
			g.Expect(summary.Passed()).To(gomega.BeFalse())
		})
	}
}
