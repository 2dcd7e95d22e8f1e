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

// unresponsiveGranter tells when its calls end.
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

// The lessor counts a grant from when it was sent, and the call's timeout after that: a
// process that is short of processor time must not make it longer.
func TestCallTimeoutIsMeasuredFromSentAt(t *testing.T) {
	for name, row := range map[string]struct {
		began time.Duration // after it was counted as sent
		made  bool
	}{
		"at once":                 {0, true},
		"after most of its time":  {300 * time.Millisecond, true},
		"after its time was over": {400 * time.Millisecond, false},
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
