package retry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/retry"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

var epoch = time.Unix(1_000_000, 0)

func always() bool { return true }
func half() float64 {
	return 0.5
}

func attempt(v outcome.Verdict, change func(*retry.Attempt)) retry.Attempt {
	a := retry.Attempt{Verdict: v, Keyed: true, Replayable: true, Attempts: 1, Deadline: epoch.Add(time.Minute)}
	if change != nil {
		change(&a)
	}
	return a
}

func TestDecisions(t *testing.T) {
	idempotent := func(a *retry.Attempt) { a.Idempotent = true }
	unkeyed := func(a *retry.Attempt) { a.Keyed = false }
	rows := []struct {
		name    string
		attempt retry.Attempt
		want    retry.Action
	}{
		{"answered", attempt(outcome.Answered(), idempotent), retry.Stop},
		{"lost answer, not idempotent", attempt(outcome.Unknown(callerapi.ReasonNoAnswer), nil), retry.Stop},
		{"lost answer, idempotent", attempt(outcome.Unknown(callerapi.ReasonNoAnswer), idempotent), retry.Retry},
		{"broken answer, not idempotent", attempt(outcome.Unknown(callerapi.ReasonBrokenAnswer), nil), retry.Stop},
		{"stale ticket", attempt(outcome.Unknown(serverapi.ReasonStaleTicket), idempotent), retry.Stop},
		{"duplicate ticket", attempt(outcome.Unknown(serverapi.ReasonDuplicate), idempotent), retry.Stop},
		{"deadline", attempt(outcome.Unknown(serverapi.ReasonDeadline), idempotent), retry.Stop},
		{"not owner", attempt(outcome.NotRun(serverapi.ReasonNotOwner), nil), retry.Reroute},
		{"not owner, body gone", attempt(outcome.NotRun(serverapi.ReasonNotOwner), func(a *retry.Attempt) { a.Replayable = false }), retry.Stop},
		{"not owner, waited elsewhere", attempt(outcome.NotRun(serverapi.ReasonNotOwner), func(a *retry.Attempt) { a.OwnerAwaited = true }), retry.Stop},
		{"not owner, deep in a chain", attempt(outcome.NotRun(serverapi.ReasonNotOwner), func(a *retry.Attempt) { a.Hop = 1 }), retry.Reroute},
		{"owner unreachable", attempt(outcome.NotRun(callerapi.ReasonNotSent), nil), retry.Reroute},
		{"any server unreachable", attempt(outcome.NotRun(callerapi.ReasonNotSent), unkeyed), retry.Retry},
		{"owner overloaded", attempt(outcome.NotRun(serverapi.ReasonOverloaded), nil), retry.Retry},
		{"overloaded, deep in a chain", attempt(outcome.NotRun(serverapi.ReasonOverloaded), func(a *retry.Attempt) { a.Hop = 1 }), retry.Stop},
		{"overloaded, forwarded here", attempt(outcome.NotRun(serverapi.ReasonOverloaded), func(a *retry.Attempt) { a.Forwarded = true }), retry.Stop},
		{"overloaded, last attempt", attempt(outcome.NotRun(serverapi.ReasonOverloaded), func(a *retry.Attempt) { a.Attempts = retry.MaxAttempts }), retry.Stop},
		{"overloaded, deadline near", attempt(outcome.NotRun(serverapi.ReasonOverloaded), func(a *retry.Attempt) { a.Deadline = epoch.Add(time.Millisecond) }), retry.Stop},
		{"caller gone", attempt(outcome.NotRun(serverapi.ReasonNotOwner), func(a *retry.Attempt) { a.Canceled = true }), retry.Stop},
		{"queue full, sole owner", attempt(outcome.NotRun(callerapi.ReasonQueueFull), nil), retry.Stop},
		{"queue full, any server", attempt(outcome.NotRun(callerapi.ReasonQueueFull), unkeyed), retry.Retry},
		{"too late", attempt(outcome.NotRun(callerapi.ReasonTooLate), unkeyed), retry.Stop},
		{"body too large", attempt(outcome.NotRun(callerapi.ReasonBodyTooLarge), nil), retry.Stop},
	}
	for _, row := range rows {
		g := gomega.NewWithT(t)
		g.Expect(retry.Decide(epoch, row.attempt, always, half).Action).To(gomega.Equal(row.want), row.name)
	}
}

// TestRequestsThatMayHaveRunAreNotRetried draws attempts with an unknown outcome
// at requests that are not idempotent.
func TestRequestsThatMayHaveRunAreNotRetried(t *testing.T) {
	reasons := []serverapi.Reason{
		serverapi.ReasonNotOwner, serverapi.ReasonOverloaded, serverapi.ReasonDraining, serverapi.ReasonDeadline,
		callerapi.ReasonNotSent, callerapi.ReasonNoAnswer, callerapi.ReasonUnresponsive, callerapi.ReasonBrokenAnswer,
		callerapi.ReasonForeignAnswer, callerapi.ReasonNotLessor, callerapi.ReasonNoOwner, "other",
	}
	rapid.Check(t, func(t *rapid.T) {
		a := retry.Attempt{
			Verdict:    outcome.Unknown(rapid.SampledFrom(reasons).Draw(t, "reason")),
			Keyed:      rapid.Bool().Draw(t, "keyed"),
			Replayable: rapid.Bool().Draw(t, "replayable"),
			Forwarded:  rapid.Bool().Draw(t, "forwarded"),
			Hop:        rapid.IntRange(0, 2).Draw(t, "hop"),
			Attempts:   rapid.IntRange(1, 5).Draw(t, "attempts"),
			Deadline:   epoch.Add(time.Hour),
		}
		if d := retry.Decide(epoch, a, always, half); d.Action != retry.Stop {
			t.Fatalf("%+v is retried", a)
		}
	})
}

func TestWithoutBudgetNothingIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	a := attempt(outcome.NotRun(serverapi.ReasonOverloaded), nil)
	d := retry.Decide(epoch, a, func() bool { return false }, half)
	g.Expect(d.Action).To(gomega.Equal(retry.Stop))
}

// TestBudgetBoundsAmplification checks the bound for random arrival times: when a
// retry is allowed, the recent retries are at most the ratio times the first
// attempts of the window, plus the constant. The total is bounded likewise.
func TestBudgetBoundsAmplification(t *testing.T) {
	const minPerWindow, window = 3, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		budget := retry.NewBudget(ratio, minPerWindow)
		now := epoch
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			budget.First(now)
			firsts = append(firsts, now)
			for budget.Take(now) {
				retries = append(retries, now)
				// The window advances in steps of a second.
				recent := float64(within(retries, now, window-time.Second))
				allowed := ratio * float64(within(firsts, now, window))
				if recent > minPerWindow+allowed+1e-9 {
					t.Fatalf("%v retries, but the first attempts allow %v", recent, allowed)
				}
			}
		}
		windows := float64(now.Sub(epoch)/(window-time.Second) + 2)
		if total := float64(len(retries)); total > ratio*float64(len(firsts))*2+minPerWindow*windows {
			t.Fatalf("%v retries for %d requests", total, len(firsts))
		}
	})
}

func within(events []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range events {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

// TestBudgetDuringAnOutage checks that with every request failing, the retries
// over a minute are a tenth of the requests.
func TestBudgetDuringAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := retry.NewBudget(0.1, 3)
	now := epoch
	retries := 0
	for range 60_000 {
		now = now.Add(time.Millisecond)
		budget.First(now)
		if budget.Take(now) {
			retries++
		}
	}
	g.Expect(float64(retries)).To(gomega.BeNumerically("<=", 6_700))
	g.Expect(float64(retries)).To(gomega.BeNumerically(">=", 5_300))
}

func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 100).Draw(t, "n")
		wait := retry.Backoff(n, rapid.Float64Range(0, 0.999).Draw(t, "uniform"))
		if wait < 0 || wait > retry.BackoffMax || n < 4 && wait > retry.BackoffBase<<n {
			t.Fatalf("backoff %d: %v", n, wait)
		}
	})
}
