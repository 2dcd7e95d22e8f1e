package router

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
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

// newMixedExchange returns an exchange for a service that has admitted 25 requests per second for two seconds. By fake time.
func newMixedExchange(t *testing.T, isMixed bool) *exchange {
	t.Helper()
	x := newKeyedExchange(t)
	x.keyed = false
	x.writer = httptest.NewRecorder()
	if isMixed {
		x.router.state.MergeGuidance(mixedGuidance)
		x.view = x.router.state.Now()
		x.service = x.router.service("s")
	}
	for range 50 {
		server, _, refused := x.service.requestSlot(x.waiter())
		gomega.NewWithT(t).Expect(refused).To(gomega.BeNil())
		time.Sleep(40 * time.Millisecond)
		x.service.releaseSlot(server, pool.Outcome{Took: 40 * time.Millisecond, Load: &site.Load{Slots: 4}})
	}
	x.arrived = time.Now()
	return x
}

// retryAfterOfResult finishes a request and returns the delay that its caller is told.
func (x *exchange) retryAfterOfResult(ctx context.Context, r result) time.Duration {
	x.finish(ctx, context.Background(), r)
	return retryAfterOf(x.writer.Header())
}

// promisedDelay returns the delay that was promised by a text of the trace, cut to a millisecond; 0: none.
func promisedDelay(text string) time.Duration {
	var delay int64
	if _, after, found := strings.Cut(text, "told to return after "); found {
		_, _ = fmt.Sscan(after, &delay)
	}
	return time.Duration(delay) * time.Millisecond
}

// scheduledRefusals are the refusals of another attempt that state a delay of the schedule on a mixed site, with the mean
// times that they state elsewhere.
var scheduledRefusals = map[string]struct {
	refuse    func(x *exchange)
	meanTimes float64
}{
	"attempts spent": {func(x *exchange) { x.attempts, x.sends = 2, 2 }, 1},
	"retry budget spent": {func(x *exchange) {
		x.attempts, x.sends = 1, 1
		for x.service.spendRetry() {
		}
	}, 2},
}

// Guards against refused callers that return together, beside the schedule, and against other delays on sites that are not
// mixed.
func TestRefusedRetriesAreToldToReturnByTheSchedule(t *testing.T) {
	for reason, c := range scheduledRefusals {
		for _, isMixed := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				x := newMixedExchange(t, isMixed)
				c.refuse(x)
				_, end := x.acquireSlotToSend(t.Context())
				g.Expect(end.refusal.reason).To(gomega.Equal(reason))
				mean := time.Duration(c.meanTimes * float64(x.meanTime()))
				delay := x.retryAfterOfResult(t.Context(), *end)
				want := mean
				if isMixed {
					want = promisedDelay(strings.Join(x.trace.steps, "; "))
				}
				g.Expect(delay).To(gomega.BeNumerically("~", want, time.Millisecond), "%v", x.trace.steps)
				g.Expect(x.service.promised() > 0).To(gomega.Equal(isMixed))
			})
		}
	}
}

// promised returns the room of the service that is promised to callers of the most urgent priority.
func (s *service) promised() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Returns(time.Now())[0].Promised
}

// Guards against room that is promised to callers that get an answer, or none that says that their request has not run, or
// that have left.
func TestOnlyRefusedCallersTakeRoomOfTheSchedule(t *testing.T) {
	for reason, c := range scheduledRefusals {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for _, prepare := range []func(x *exchange){
				func(x *exchange) {
					x.lastAnswer = &upstream.Answer{Status: http.StatusInternalServerError, Header: http.Header{}}
				},
				func(x *exchange) { x.mayHaveRun = true },
			} {
				x := newMixedExchange(t, true)
				c.refuse(x)
				prepare(x)
				_, end := x.acquireSlotToSend(t.Context())
				g.Expect(end.refusal).To(gomega.BeNil())
				x.retryAfterOfResult(t.Context(), *end)
				g.Expect(x.service.promised()).To(gomega.BeZero(), reason)
			}
			x := newMixedExchange(t, true)
			left, leave := context.WithCancel(t.Context())
			leave()
			x.retryAfterOfResult(left, result{refusal: &refusal{status: http.StatusServiceUnavailable, reason: reason, isScheduled: true}})
			g.Expect(x.service.promised()).To(gomega.BeZero(), reason)
			passedOn := newMixedExchange(t, true)
			passedOn.forwarded = &forward.Request{}
			unreachable := &refusal{status: http.StatusServiceUnavailable, reason: reason, isScheduled: true, isUnreachable: true}
			g.Expect(passedOn.withPromise(t.Context(), unreachable)).To(gomega.Equal(unreachable), "the node that forwarded it goes on")
			g.Expect(passedOn.service.promised()).To(gomega.BeZero(), reason)
		})
	}
}

// Guards against callers that waited in vain and return at once, when those that are refused for capacity return later, and
// against other delays on sites that are not mixed.
func TestCallersThatWaitedInVainAreToldToReturnByTheSchedule(t *testing.T) {
	for _, isMixed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x := newMixedExchange(t, isMixed)
			x.deadline = time.Now().Add(time.Second)
			ctx, cancel := context.WithDeadline(t.Context(), x.deadline)
			defer cancel()
			for {
				w := x.waiter()
				if _, results, _ := x.service.requestSlot(w); results != nil { // all slots are taken
					x.service.cancelWait(w, results)
					break
				}
			}
			_, end := x.acquireSlotToSend(ctx)
			g.Expect(end.refusal.reason).To(gomega.Equal("waited in vain"))
			mean := x.meanTime()
			delay := x.retryAfterOfResult(ctx, *end)
			if isMixed {
				g.Expect(delay).To(gomega.Equal(2*time.Second), "no time is left to return in")
				g.Expect(strings.Join(x.trace.steps, "; ")).To(gomega.ContainSubstring("no room for a return in the caller's time"))
			} else {
				g.Expect(delay).To(gomega.BeNumerically("~", mean, time.Millisecond))
			}
		})
	}
}
