package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/lessor"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// directory is a lessor.Directory whose lease can be revoked.
type directory struct {
	mu      sync.Mutex
	refuses bool
}

func (d *directory) MayRenew(topo.GroupID) bool          { return d.allowed() }
func (d *directory) Term(topo.GroupID) (topo.Term, bool) { return topo.Term{}, d.allowed() }
func (d *directory) MaySend(topo.GroupID, topo.ShardID, topo.ServerID, topo.Fence) bool {
	return d.allowed()
}

func (d *directory) allowed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.refuses
}

func (d *directory) setRefuses(refuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = refuses
}

// withUnfencedServices runs a test with a lessor's node and entry nodes, for services whose
// servers keep no record of tickets.
func withUnfencedServices(t *testing.T, entries int, test func(p *pair, lessors *directory)) {
	service := rt.Keyed()
	service.ChecksFencing = false
	service.RequireIdempotencyKey = true
	lessors := &directory{}
	withEntryNodes(t, entries, []*siteconfig.Service{service, rt.Unkeyed()}, func(p *pair) { test(p, lessors) },
		rt.With[lessor.Directory](lessors))
}

func (p *pair) ticket(node *rt.Node, keyed bool, key string) string {
	service := rt.UnkeyedName
	if keyed {
		service = rt.KeyedName
	}
	issued, refused := node.Handler.IssueTicket(context.Background(), service, keyed, key)
	p.Expect(refused).To(gomega.BeNil())
	return issued.Ticket
}

func withTicket(req *exchange.Request, ticket string) *exchange.Request {
	req.Ticket = ticket
	return req
}

// TestTicketsAreChecked: invalid tickets are refused before anything is sent.
func TestTicketsAreChecked(t *testing.T) {
	withUnfencedServices(t, 1, func(p *pair, _ *directory) {
		own := p.ticket(p.entry[0], true, "well-7")
		rows := []struct {
			name   string
			req    *exchange.Request
			reason serverapi.Reason
			status int
		}{
			{"none where one is required", request("POST", "well-7"), callerapi.ReasonTicketRequired, 428},
			{"not a ticket", withTicket(request("POST", "well-7"), "mine"), callerapi.ReasonBadTicket, 400},
			{"of another key", withTicket(request("POST", "well-8"), own), callerapi.ReasonBadTicket, 400},
			{"of another service", withTicket(unkeyed("POST"), own), callerapi.ReasonBadTicket, 400},
		}
		for _, row := range rows {
			answer := p.serve(row.req)
			p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun), row.name)
			p.Expect(answer.Reason).To(gomega.Equal(row.reason), row.name)
			p.Expect(answer.Status).To(gomega.Equal(row.status), row.name)
		}
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
		p.Expect(p.serve(request("GET", "well-7")).Outcome).To(gomega.Equal(serverapi.OutcomeAnswered), "idempotent methods need none")
	})
}

// TestTicketIsBoundToTheFence: if servers check fences, a ticket names the fence.
func TestTicketIsBoundToTheFence(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		issued, refused := p.entry[0].Handler.IssueTicket(context.Background(), rt.KeyedName, true, "well-7")
		p.Expect(refused).To(gomega.BeNil())
		owned, _ := p.Site.View().Lookup(rt.KeyedName, "well-7")
		p.Expect(issued.ExpiresWith).To(gomega.Equal(owned.Fence.String()))
		text(p.WithT, p.serve(withTicket(request("POST", "well-7"), issued.Ticket)))
		p.Expect(p.driver.Attempts()[0].Req.IdempotencyKey).To(gomega.Equal(issued.Ticket))
		answer := p.serve(withTicket(request("POST", "well-8"), issued.Ticket))
		p.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonBadTicket))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))
	})
}

// TestRepeatedTicketIsReplayed: the lessor's record replays the answer through any
// node.
func TestRepeatedTicketIsReplayed(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		withUnfencedServices(t, 2, func(p *pair, _ *directory) {
			req := func() *exchange.Request { return unkeyed("POST") }
			if keyed {
				req = func() *exchange.Request { return request("POST", "well-7") }
			}
			ticket := p.ticket(p.entry[0], keyed, req().Key)
			first := p.entry[0].Handler.Serve(context.Background(), withTicket(req(), ticket))
			body := text(p.WithT, first)
			again := p.entry[1].Handler.Serve(context.Background(), withTicket(req(), ticket))
			p.Expect(text(p.WithT, again)).To(gomega.Equal(body))
			p.Expect(again.Header.Get(callerapi.HeaderReplayed)).To(gomega.Equal("true"))
			p.Expect(again.Header.Get("X-Server-Says")).To(gomega.Equal("hello"))
			p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))

			other := withTicket(req(), ticket)
			other.Path = "/other"
			answer := p.entry[1].Handler.Serve(context.Background(), other)
			p.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonBadTicket), "a ticket is for one request")
			p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		})
	}
}

// TestLostAnswerIsNotRunAgain: the record shows that the ticket ran, but not its
// answer.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	withUnfencedServices(t, 1, func(p *pair, _ *directory) {
		p.driver.Set("s1", rt.Sequence(rt.Lost, rt.Answer(200, "again")))
		ticket := p.ticket(p.entry[0], true, "well-7")
		p.Expect(p.serve(withTicket(request("POST", "well-7"), ticket)).Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		answer := p.serve(withTicket(request("POST", "well-7"), ticket))
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		p.Expect(answer.Reason).To(gomega.Equal(serverapi.ReasonAnswerGone))
		p.Expect(answer.Status).To(gomega.Equal(409))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))
	})
}

// TestNotRunTicketMayBeUsedAgain: a ticket that is proven not to have run is
// removed from the record.
func TestNotRunTicketMayBeUsedAgain(t *testing.T) {
	withUnfencedServices(t, 1, func(p *pair, _ *directory) {
		p.driver.Set("s1", rt.Decline("not-run", serverapi.ReasonOverloaded))
		ticket := p.ticket(p.entry[0], true, "well-7")
		p.Expect(p.serve(withTicket(request("POST", "well-7"), ticket)).Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		p.driver.Set("s1", rt.Answer(200, "ran"))
		p.Expect(text(p.WithT, p.serve(withTicket(request("POST", "well-7"), ticket)))).To(gomega.Equal("ran"))
	})
}

// TestNextTermRefusesOldTicket: the record of the previous term no longer
// exists, so all its tickets are refused with an unknown outcome, even those that
// never ran.
func TestNextTermRefusesOldTicket(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		withUnfencedServices(t, 1, func(p *pair, _ *directory) {
			req := func() *exchange.Request { return unkeyed("POST") }
			if keyed {
				req = func() *exchange.Request { return request("POST", "well-7") }
			}
			ticket := p.ticket(p.entry[0], keyed, req().Key)
			p.Site.Lead(groupA, "lessor", rt.Boot)
			answer := p.serve(withTicket(req(), ticket))
			p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
			p.Expect(answer.Reason).To(gomega.Equal(serverapi.ReasonStaleTicket))
			p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
		})
	}
}

// TestExpiredLessorSendsNothing: a lessor without a lease does not send to servers
// that do not check fencing tokens.
func TestExpiredLessorSendsNothing(t *testing.T) {
	withUnfencedServices(t, 1, func(p *pair, lessors *directory) {
		lessors.setRefuses(true)
		start := time.Now()
		req := request("GET", "well-7")
		req.Deadline = start.Add(time.Second)
		answer := p.serve(req)
		p.Expect(time.Since(start)).To(gomega.BeNumerically("<", 50*time.Millisecond), "answered immediately")
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		p.Expect(answer.RetryAfter).To(gomega.BeNumerically(">", 0))
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
		lessors.setRefuses(false)
		p.Eventually(func() serverapi.Outcome { return p.serve(request("GET", "well-7")).Outcome }, 10*time.Second).
			Should(gomega.Equal(serverapi.OutcomeAnswered))
	})
}

// TestNoTicketRunsTwice sends each ticket several times, through several nodes,
// while servers lose answers, refuse and are slow, and the term changes during the
// test. The checker reads the attempts that the servers received.
func TestNoTicketRunsTwice(t *testing.T) {
	const tickets, uses = 60, 4
	withUnfencedServices(t, 3, func(p *pair, _ *directory) {
		random := rand.New(rand.NewPCG(11, 12))
		refused := rt.Decline("not-run", serverapi.ReasonOverloaded)
		for _, id := range []topo.ServerID{"s1", "u1", "u2", "u3"} {
			var steps []rt.Behaviour
			for range 400 {
				step := []rt.Behaviour{rt.Lost, refused, rt.Unreachable, rt.Answer(200, "ok"), rt.Broken(10, "half"),
					rt.Delayed(2*time.Millisecond, rt.Answer(200, "slow"))}[random.IntN(6)]
				steps = append(steps, step)
			}
			p.driver.Set(id, rt.Sequence(steps...))
		}
		var wait sync.WaitGroup
		for i := range tickets {
			keyed := i%2 == 0
			key := ""
			if keyed {
				key = fmt.Sprint("well-", i)
			}
			ticket := p.ticket(p.entry[i%3], keyed, key)
			for use := range uses {
				wait.Go(func() {
					req := unkeyed("POST")
					if keyed {
						req = request("POST", key)
					}
					req.Deadline = time.Now().Add(2 * time.Second)
					answer := p.entry[(i+use)%3].Handler.Serve(context.Background(), withTicket(req, ticket))
					if answer.Body != nil {
						_ = answer.Body.Close()
					}
				})
			}
			if i == tickets/2 {
				p.Site.Lead(groupA, "lessor", rt.Boot)
			}
		}
		wait.Wait()
		p.Expect(p.driver.Attempts()).NotTo(gomega.BeEmpty())
		p.Expect(doubleRuns(p.driver.Attempts())).To(gomega.BeEmpty())
	})
}
