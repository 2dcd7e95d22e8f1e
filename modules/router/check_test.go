package router_test

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/topo"
)

// doubleRuns lists the tickets that servers ran, or may have run, more than
// once. An attempt that the server refused, or that did not reach it, did not
// run.
func doubleRuns(attempts []rt.Attempt) []string {
	runs := map[string]int{}
	for _, a := range attempts {
		if a.Req.IdempotencyKey != "" && a.MayHaveRun() {
			runs[a.Req.IdempotencyKey]++
		}
	}
	var doubled []string
	for ticket, count := range runs {
		if count > 1 {
			doubled = append(doubled, ticket)
		}
	}
	return doubled
}

// misdelivered lists the callers that did not get the complete answer to their own
// request, from servers that echo the caller's ID.
func misdelivered(got map[string]string) []string {
	var wrong []string
	for caller, text := range got {
		if text != caller {
			wrong = append(wrong, caller)
		}
	}
	return wrong
}

// TestCheckersDetectInjectedFaults injects a resend of a request that is
// not idempotent, and an answer that combines two answers.
func TestCheckersDetectInjectedFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	driver := rt.NewDriver()
	driver.Set("s1", rt.Lost)
	sendTwice := func(ticket string) {
		for range 2 {
			_, _ = driver.Do(context.Background(), backend.Target{ID: topo.ServerID("s1")}, backend.Request{IdempotencyKey: ticket})
		}
	}
	sendTwice("t1")
	driver.Set("s1", rt.Sequence(rt.Decline("not-run", "overloaded"), rt.Lost))
	sendTwice("t2")
	g.Expect(doubleRuns(driver.Attempts())).To(gomega.Equal([]string{"t1"}))

	g.Expect(misdelivered(map[string]string{"a": "a", "bb": "bb"})).To(gomega.BeEmpty())
	g.Expect(misdelivered(map[string]string{"a": "a", "bb": "ba"})).To(gomega.Equal([]string{"bb"}), "splice")
	g.Expect(misdelivered(map[string]string{"a": "bb", "bb": "bb"})).To(gomega.Equal([]string{"a"}), "another's")
	g.Expect(misdelivered(map[string]string{"bb": "b"})).To(gomega.Equal([]string{"bb"}), "incomplete answer")
}
