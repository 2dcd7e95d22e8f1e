package outcome_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

func TestAttemptsWithoutAnswer(t *testing.T) {
	rows := []struct {
		failure outcome.Failure
		want    serverapi.Outcome
		reason  serverapi.Reason
		status  int
	}{
		{outcome.Failure{}, serverapi.OutcomeNotRun, callerapi.ReasonNotSent, 503},
		{outcome.Failure{Stalled: true}, serverapi.OutcomeNotRun, callerapi.ReasonNotSent, 503},
		{outcome.Failure{Deadline: true}, serverapi.OutcomeNotRun, serverapi.ReasonDeadline, 504},
		{outcome.Failure{Canceled: true}, serverapi.OutcomeNotRun, callerapi.ReasonCanceled, 503},
		{outcome.Failure{Sent: true}, serverapi.OutcomeUnknown, callerapi.ReasonNoAnswer, 502},
		{outcome.Failure{Sent: true, Stalled: true}, serverapi.OutcomeUnknown, callerapi.ReasonUnresponsive, 504},
		{outcome.Failure{Sent: true, Deadline: true}, serverapi.OutcomeUnknown, serverapi.ReasonDeadline, 504},
		{outcome.Failure{Sent: true, Canceled: true}, serverapi.OutcomeUnknown, callerapi.ReasonCanceled, 502},
	}
	for _, row := range rows {
		g := gomega.NewWithT(t)
		v := outcome.Failed(row.failure)
		g.Expect(v.Outcome).To(gomega.Equal(row.want), "%+v", row.failure)
		g.Expect(v.Reason).To(gomega.Equal(row.reason), "%+v", row.failure)
		g.Expect(v.Status()).To(gomega.Equal(row.status), "%+v", row.failure)
	}
}

func TestServerHeaders(t *testing.T) {
	rows := []struct {
		outcome serverapi.Outcome
		reason  serverapi.Reason
		want    serverapi.Outcome
		status  int
	}{
		{"", "", serverapi.OutcomeAnswered, 0},
		{serverapi.OutcomeAnswered, "", serverapi.OutcomeAnswered, 0},
		{serverapi.OutcomeNotRun, serverapi.ReasonNotOwner, serverapi.OutcomeNotRun, 503},
		{serverapi.OutcomeNotRun, serverapi.ReasonOverloaded, serverapi.OutcomeNotRun, 503},
		{serverapi.OutcomeNotRun, serverapi.ReasonDraining, serverapi.OutcomeNotRun, 503},
		{serverapi.OutcomeNotRun, serverapi.ReasonDeadline, serverapi.OutcomeNotRun, 504},
		{serverapi.OutcomeUnknown, serverapi.ReasonStaleTicket, serverapi.OutcomeUnknown, 409},
		{serverapi.OutcomeUnknown, serverapi.ReasonDuplicate, serverapi.OutcomeUnknown, 409},
		{"something new", "x", serverapi.OutcomeUnknown, 502},
	}
	for _, row := range rows {
		g := gomega.NewWithT(t)
		v := outcome.FromHeaders(row.outcome, row.reason)
		g.Expect(v.Outcome).To(gomega.Equal(row.want), "%+v", row)
		if row.status != 0 {
			g.Expect(v.Status()).To(gomega.Equal(row.status), "%+v", row)
		}
	}
}

// TestStaleTicketDoesNotHideEarlierAttempts: the verdict on a stale
// ticket is final only if no earlier attempt may have run, so that a first use is
// known not to have run.
func TestStaleTicketDoesNotHideEarlierAttempts(t *testing.T) {
	stale := outcome.Unknown(serverapi.ReasonStaleTicket)
	rows := []struct {
		name    string
		earlier []outcome.Verdict
		want    serverapi.Reason
	}{
		{"first use", nil, serverapi.ReasonStaleTicket},
		{"after a proven refusal", []outcome.Verdict{outcome.NotRun(serverapi.ReasonNotOwner)}, serverapi.ReasonStaleTicket},
		{"after a lost answer", []outcome.Verdict{outcome.Unknown(callerapi.ReasonNoAnswer)}, callerapi.ReasonNoAnswer},
		{"after both", []outcome.Verdict{
			outcome.Unknown(callerapi.ReasonUnresponsive), outcome.NotRun(serverapi.ReasonNotOwner),
		}, callerapi.ReasonUnresponsive},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var tally outcome.Tally
			for _, v := range append(row.earlier, stale) {
				tally.Add(v)
			}
			final := tally.Final(stale)
			g := gomega.NewWithT(t)
			g.Expect(final.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
			g.Expect(final.Reason).To(gomega.Equal(row.want))
		})
	}
}

// TestNotRunNeedsProofOfEveryAttempt generates the attempts of a request: "not
// run" is reported only if none of them may have run.
func TestNotRunNeedsProofOfEveryAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]serverapi.Outcome{
			serverapi.OutcomeNotRun, serverapi.OutcomeUnknown,
		}), 0, 6).Draw(t, "attempts")
		var tally outcome.Tally
		mayHaveRun := false
		for _, o := range outcomes {
			tally.Add(outcome.Verdict{Outcome: o, Reason: "r"})
			mayHaveRun = mayHaveRun || o == serverapi.OutcomeUnknown
		}
		final := tally.Final(outcome.NotRun(callerapi.ReasonTooLate).WithRetryAfter(time.Second))
		if final.NotRunProven() == mayHaveRun {
			t.Fatalf("attempts %v: reported %v", outcomes, final.Outcome)
		}
		if final.RetryAfter != time.Second {
			t.Fatalf("retry delay was lost")
		}
		if tally.Final(outcome.Answered()) != outcome.Answered() {
			t.Fatalf("a complete answer must be final")
		}
	})
}

// TestStatusesDistinguishOutcomes checks the documented rule: a request that
// may have run has no 4xx status other than 409.
func TestStatusesDistinguishOutcomes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, reason := range []serverapi.Reason{
		callerapi.ReasonBodyTooLarge, callerapi.ReasonBodyUnreadable, callerapi.ReasonCanceled,
		callerapi.ReasonBrokenAnswer, callerapi.ReasonForeignAnswer, callerapi.ReasonNoAnswer,
		callerapi.ReasonUnresponsive, serverapi.ReasonDeadline, serverapi.ReasonDuplicate, "other",
	} {
		g.Expect(outcome.Unknown(reason).Status()).To(gomega.BeElementOf(409, 502, 504), string(reason))
		g.Expect(outcome.NotRun(reason).Status()).NotTo(gomega.Equal(502), string(reason))
	}
}
