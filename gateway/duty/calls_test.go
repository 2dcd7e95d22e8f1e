package duty

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// unresponsiveGranter never responds and records when its call ends.
type unresponsiveGranter struct{ endedAt time.Time }

// Grant implements ranges.Granter.
func (g *unresponsiveGranter) Grant(ctx context.Context, _ site.Server, _ ranges.Grant) error {
	<-ctx.Done()
	g.endedAt = clock.Now()
	return ctx.Err()
}

// Release implements ranges.Granter.
func (g *unresponsiveGranter) Release(ctx context.Context, server site.Server, _ ranges.Span, _ ranges.Fence) (string, error) {
	return "", g.Grant(ctx, server, ranges.Grant{})
}

// The lessor measures a grant and the timeout of its call from SentAt. A call that starts
// late, in a process short of CPU time, must not extend the grant.
func TestCallTimeoutIsMeasuredFromSentAt(t *testing.T) {
	for name, row := range map[string]struct {
		began time.Duration // after SentAt
		made  bool
	}{
		"immediately":               {0, true},
		"after most of the timeout": {300 * time.Millisecond, true},
		"after the whole timeout":   {400 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				granter := &unresponsiveGranter{}
				d := New()
				d.Logger = hclog.NewNullLogger()
				d.Granter = granter
				d.Timing = ranges.DefaultTiming()
				call := ranges.Call{Server: "a", SentAt: clock.Now()}
				time.Sleep(row.began)
				go d.call(t.Context(), site.Server{ID: "a"}, call)
				result := <-d.callResults
				g.Expect(result.result.Failed).To(gomega.BeTrue())
				g.Expect(granter.endedAt.IsZero()).To(gomega.Equal(!row.made))
				if row.made {
					g.Expect(granter.endedAt.Sub(call.SentAt)).To(gomega.Equal(d.Timing.CallTimeout))
				}
			})
		})
	}
}
