package router

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
)

// Guards against callers with unusual timeouts that are taken for returning ones, and against immediate retries, many of
// which state the same timeout, that are taken for another kind of callers.
func TestTimeoutThatManyCallersStateIsNoRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	var timeouts callerTimeouts
	for i := range 400 {
		timeouts.record(4 * time.Second)
		if i%2 == 0 {
			timeouts.record(2 * time.Second) // another kind of callers
		}
		if i%3 == 0 {
			timeouts.record(3995 * time.Millisecond) // retries at once
		}
		if i%5 == 0 {
			timeouts.record(time.Duration(i) * time.Millisecond) // retries
		}
	}
	g.Expect(timeouts.isCommon(4 * time.Second)).To(gomega.BeTrue())
	g.Expect(timeouts.isCommon(2 * time.Second)).To(gomega.BeTrue())
	g.Expect(timeouts.isCommon(6*time.Second)).To(gomega.BeTrue(), "longer than usual")
	g.Expect(timeouts.isCommon(3995 * time.Millisecond)).To(gomega.BeFalse())
	g.Expect(timeouts.isCommon(3 * time.Second)).To(gomega.BeFalse())
}

// Guards against a refusal that does not tell why the caller should return then.
func TestTraceTellsWhatWasPromised(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	promise := returns.Promise{After: 350 * time.Millisecond, Fits: true, Admitted: 8, Firsts: 6}
	refused := x.refusedBy(nil, &pool.Refusal{Reason: pool.WaitTooLong, RetryAfter: promise.After, Promise: &promise})
	g.Expect(refused.retryAfter).To(gomega.Equal(promise.After))
	promise.Fits = false
	x.refusedBy(nil, &pool.Refusal{Reason: pool.WaitTooLong, Promise: &promise})
	steps := strings.Join(x.trace.steps, "; ")
	g.Expect(steps).To(gomega.ContainSubstring("told to return after 350 ms: 8 admitted/s, 6 first attempts/s"))
	g.Expect(steps).To(gomega.ContainSubstring("no room for a return in the caller's time"))
}
