package duty

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guards against sending an owner of a dozen ranges a dozen renewals at once, each on its
// own connection, which a full server does not accept.
func TestConcurrentCallsToOneServerAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var l callLimiter
		grant, release, other := ranges.Call{Server: "a"}, ranges.Call{Server: "a", Release: true}, ranges.Call{Server: "b"}
		for range maxConcurrentGrants {
			g.Expect(l.acquire(t.Context(), grant)).To(gomega.Succeed())
		}
		for range maxConcurrentReleases {
			g.Expect(l.acquire(t.Context(), release)).To(gomega.Succeed(), "grants do not delay releases")
		}
		g.Expect(l.acquire(t.Context(), other)).To(gomega.Succeed())

		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(l.acquire(short, grant)).To(gomega.MatchError(context.DeadlineExceeded), "the call was not admitted")

		entered := false
		go func() { entered = l.acquire(t.Context(), grant) == nil }()
		synctest.Wait()
		g.Expect(entered).To(gomega.BeFalse())
		l.release(grant)
		synctest.Wait()
		g.Expect(entered).To(gomega.BeTrue())
	})
}

// Entries of servers that have left are dropped, even while calls to them are in flight.
func TestLimiterForgetsServers(t *testing.T) {
	g := gomega.NewWithT(t)
	l := callLimiter{}
	call := ranges.Call{Server: "a"}
	g.Expect(l.acquire(t.Context(), call)).To(gomega.Succeed())
	for i := range maxTrackedServers {
		other := ranges.Call{Server: site.ServerID(strconv.Itoa(i))}
		g.Expect(l.acquire(t.Context(), other)).To(gomega.Succeed())
	}
	g.Expect(len(l.slots)).To(gomega.BeNumerically("<=", maxTrackedServers))
	l.release(call)
}
