package demo

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

func sent(request string, number int, at history.Time) history.CallerSent {
	return history.CallerSent{At: at, CallerRequest: request, Attempt: number, Service: "s", Key: "k", Method: "GET"}
}

func answered(request string, number int, at history.Time, outcome serverapi.Outcome) history.CallerAnswered {
	return history.CallerAnswered{At: at, CallerRequest: request, Attempt: number, Outcome: outcome}
}

func TestRequestsAreCountedOnceByTheirFinalOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	events := []history.Event{
		sent("a", 1, 1), answered("a", 1, 2, serverapi.OutcomeNotRun),
		sent("b", 1, 3), answered("b", 1, 4, serverapi.OutcomeUnknown),
		sent("b", 2, 5), answered("b", 2, 6, serverapi.OutcomeNotRun), // the first attempt may have run
		sent("c", 1, 7), // no answer recorded
		sent(probePrefix+"x", 1, 8), answered(probePrefix+"x", 1, 9, serverapi.OutcomeNotRun),
	}
	summary, _ := summarize(events, histcheck.Options{})
	g.Expect(summary).To(gomega.HaveField("Sent", 3))
	g.Expect(summary).To(gomega.HaveField("NotRun", 1))
	g.Expect(summary).To(gomega.HaveField("Unknown", 2))
	g.Expect(summary.Passed()).To(gomega.BeFalse(), "nothing was answered")
}

func TestTheSummaryCountsEachKindOfViolation(t *testing.T) {
	g := gomega.NewWithT(t)
	var summary Summary
	summary.violations([]histcheck.Violation{
		{Rule: histcheck.RuleWholeAnswer},
		{Rule: histcheck.RuleSoleOwner}, {Rule: histcheck.RuleAssignments}, {Rule: histcheck.RuleSiteVersions},
		{Rule: histcheck.RuleAtMostOnce}, {Rule: histcheck.RuleNotRun},
	})
	g.Expect([]int{summary.Misdelivered, summary.DualOwner, summary.DoubleRun}).To(gomega.Equal([]int{1, 3, 2}))
	summary.Answered = 1
	g.Expect(summary.Passed()).To(gomega.BeFalse())
	g.Expect(Summary{Answered: 1}.Passed()).To(gomega.BeTrue())
}

func TestTheSummaryIsOneLineWithTheAgreedFields(t *testing.T) {
	g := gomega.NewWithT(t)
	var line bytes.Buffer
	g.Expect(Summary{Sent: 1}.Write(&line)).To(gomega.Succeed())
	g.Expect(line.String()).To(gomega.Equal(`{"sent":1,"answered":0,"notRun":0,"unknown":0,"misdelivered":0,` +
		`"dualOwner":0,"doubleRun":0,"unavailableMs":0,"p50Ms":0,"p99Ms":0}` + "\n"))
}

func TestPlansAreSeeded(t *testing.T) {
	for _, name := range []string{model.Kavango, model.Urbion} {
		g := gomega.NewWithT(t)
		d, err := loadDeployment(name, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(d.zones).To(gomega.HaveLen(3))
		plan := planRequests(500, 3, 10*time.Second, len(d.zones), d.site)
		g.Expect(plan).To(gomega.Equal(planRequests(500, 3, 10*time.Second, len(d.zones), d.site)))
		g.Expect(plan).NotTo(gomega.Equal(planRequests(500, 4, 10*time.Second, len(d.zones), d.site)))
	}
}

func TestSpreadTakesEachOwnerInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := []OwnedKey{{Key: "a1", Owner: "a"}, {Key: "a2", Owner: "a"}, {Key: "b1", Owner: "b"}, {Key: "c1", Owner: "c"}}
	chosen := Spread(keys, &SiteServer{ID: "c"})
	g.Expect(chosen).To(gomega.Equal([]OwnedKey{keys[3], keys[0], keys[2], keys[1]}))
}
