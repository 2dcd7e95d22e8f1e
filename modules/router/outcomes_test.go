package router_test

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// TestOutcomes lists the behaviours of a server and the outcomes that the caller
// receives, with the number of attempts that reached a server.
func TestOutcomes(t *testing.T) {
	rows := []struct {
		name     string
		behave   rt.Behaviour
		method   string
		unkeyed  bool
		outcome  serverapi.Outcome
		reason   serverapi.Reason
		status   int
		attempts int // 0 if not checked
	}{
		{name: "answered", behave: rt.Answer(201, "made"), method: "POST", outcome: "answered", status: 201, attempts: 1},
		{name: "the owner's own failure is its answer", behave: rt.Answer(500, "bug"), method: "POST", outcome: "answered", status: 500, attempts: 1},
		{name: "answer lost, not idempotent", behave: rt.Lost, method: "POST", outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502, attempts: 1},
		{name: "answer lost, idempotent", behave: rt.Sequence(rt.Lost, rt.Answer(200, "ok")), method: "GET", outcome: "answered", status: 200, attempts: 2},
		{name: "answers lost, idempotent", behave: rt.Lost, method: "GET", outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502},
		{name: "silent, not idempotent", behave: rt.Unresponsive, method: "POST", outcome: "unknown", reason: callerapi.ReasonUnresponsive, status: 504, attempts: 1},
		{name: "never answers", behave: rt.Hanging, method: "POST", outcome: "unknown", reason: serverapi.ReasonDeadline, status: 504, attempts: 1},
		{name: "broken answer, not idempotent", behave: rt.Broken(10, "half"), method: "POST", outcome: "unknown", reason: callerapi.ReasonBrokenAnswer, status: 502, attempts: 1},
		{name: "broken answer, idempotent", behave: rt.Sequence(rt.Broken(10, "half"), rt.Answer(200, "whole")), method: "GET", outcome: "answered", status: 200, attempts: 2},
		{name: "answer longer than declared", behave: rt.Broken(2, "half"), method: "POST", outcome: "unknown", reason: callerapi.ReasonBrokenAnswer, status: 502, attempts: 1},
		{name: "answer to another request", behave: rt.Foreign, method: "POST", outcome: "unknown", reason: callerapi.ReasonForeignAnswer, status: 502, attempts: 1},
		{name: "not owner, then owner again", behave: rt.Sequence(rt.Decline("not-run", serverapi.ReasonNotOwner), rt.Answer(200, "ok")), method: "POST", outcome: "answered", status: 200, attempts: 2},
		{name: "overloaded, then not", behave: rt.Sequence(rt.Decline("not-run", serverapi.ReasonOverloaded), rt.Answer(200, "ok")), method: "POST", outcome: "answered", status: 200, attempts: 2},
		{name: "always overloaded", behave: rt.Decline("not-run", serverapi.ReasonOverloaded), method: "POST", outcome: "not-run", reason: serverapi.ReasonOverloaded, status: 503},
		{name: "stale ticket", behave: rt.Decline("unknown", serverapi.ReasonStaleTicket), method: "POST", outcome: "unknown", reason: serverapi.ReasonStaleTicket, status: 409, attempts: 1},
		{name: "duplicate ticket", behave: rt.Decline("unknown", serverapi.ReasonDuplicate), method: "GET", outcome: "unknown", reason: serverapi.ReasonDuplicate, status: 409, attempts: 1},
		{name: "answer no longer kept", behave: rt.Decline("unknown", serverapi.ReasonAnswerGone), method: "POST", outcome: "unknown", reason: serverapi.ReasonAnswerGone, status: 409, attempts: 1},
		{name: "lease lost while it ran", behave: rt.Decline("unknown", serverapi.ReasonOwnershipLost), method: "POST", outcome: "unknown", reason: serverapi.ReasonOwnershipLost, status: 409, attempts: 1},
		{name: "ticket of another key", behave: rt.Decline("not-run", serverapi.ReasonBadTicket), method: "POST", outcome: "not-run", reason: serverapi.ReasonBadTicket, status: 400, attempts: 1},
		{name: "unreadable to the server", behave: rt.Decline("not-run", serverapi.ReasonBadRequest), method: "GET", outcome: "not-run", reason: serverapi.ReasonBadRequest, status: 400, attempts: 1},
		{name: "lost, then not owner: may have run", behave: rt.Sequence(rt.Lost, rt.Decline("not-run", serverapi.ReasonOverloaded)), method: "GET", outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502},
		{name: "another server, not idempotent", behave: rt.Sequence(rt.Unreachable, rt.Answer(200, "ok")), method: "POST", unkeyed: true, outcome: "answered", status: 200, attempts: 2},
		{name: "another server, answer lost", behave: rt.Lost, method: "POST", unkeyed: true, outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502, attempts: 1},
		{name: "another server, draining", behave: rt.Sequence(rt.Decline("not-run", serverapi.ReasonDraining), rt.Answer(200, "ok")), method: "POST", unkeyed: true, outcome: "answered", status: 200, attempts: 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			withSingleNode(t, bothServices(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
				req := request(row.method, "well-7")
				if row.unkeyed {
					req = unkeyed(row.method)
				}
				for _, id := range []topo.ServerID{"s1", "u1", "u2", "u3"} {
					driver.Set(id, row.behave)
				}
				answer := node.Handler.Serve(context.Background(), req)
				text(g, answer)
				g.Expect(answer.Outcome).To(gomega.Equal(row.outcome))
				g.Expect(answer.Reason).To(gomega.Equal(row.reason))
				g.Expect(answer.Status).To(gomega.Equal(row.status))
				if row.attempts > 0 {
					g.Expect(driver.Attempts()).To(gomega.HaveLen(row.attempts))
				}
				if answer.Outcome != serverapi.OutcomeAnswered && answer.Status >= 429 {
					g.Expect(answer.RetryAfter).To(gomega.BeNumerically(">", 0))
				}
				for _, attempt := range driver.Attempts() {
					g.Expect(driver.InFlight(attempt.Server)).To(gomega.BeZero(), "slots are released")
				}
			})
		})
	}
}
