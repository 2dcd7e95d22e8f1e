package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// ticketRetryAfter is the Retry-After time of a ticket request while the key has
// no owner.
const ticketRetryAfter = time.Second

// IssueTicket implements exchange.Handler.
func (m *Module) IssueTicket(ctx context.Context, service topo.Service, keyed bool, key string) (callerapi.Ticket, *exchange.Answer) {
	req := &exchange.Request{Service: service, Keyed: keyed, Key: key}
	scope, refused := m.ticketScope(ctx, req)
	if refused != nil {
		return callerapi.Ticket{}, refusal(withRetryAfter(*refused))
	}
	issued := m.tickets.Issue(scope, service, key)
	return callerapi.Ticket{Ticket: issued.String(), ExpiresWith: scope.Ordinal.String()}, nil
}

// ticketScope returns the scope to which a ticket for the key is bound now.
func (m *Module) ticketScope(ctx context.Context, req *exchange.Request) (ticket.Scope, *outcome.Verdict) {
	view := m.source.View()
	config, exists := view.Service(req.Service)
	switch {
	case !exists:
		return ticket.Scope{}, refuse(callerapi.ReasonUnknownService)
	case config.Keyed && !req.Keyed:
		return ticket.Scope{}, refuse(callerapi.ReasonMissingKey)
	case !config.Keyed && req.Keyed:
		return ticket.Scope{}, refuse(callerapi.ReasonUnexpectedKey)
	}
	d, found := m.ticketRoute(&requestState{m: m, ctx: ctx, caller: ctx, req: req, config: config})
	if !found {
		v := outcome.NotRun(callerapi.ReasonNoOwner).WithRetryAfter(ticketRetryAfter)
		return ticket.Scope{}, &v
	}
	if scopeKind(config) == ticket.ScopeFence {
		return ticket.FenceScope(d.Fence), nil
	}
	return ticket.TermScope(d.Term), nil
}

// ticketRoute returns the route that a request with the ticket would take. For an
// unkeyed service, the least loaded of the randomly chosen servers determines
// which lessor keeps the record.
func (m *Module) ticketRoute(r *requestState) (route.Decision, bool) {
	view := m.source.View()
	if r.req.Keyed {
		d := route.Keyed(view, m.overlay.Overlay(), m.self, r.req.Service, r.req.Key)
		return d, !d.Fence.IsZero() && !d.Term.IsZero()
	}
	routes := r.candidateRoutes(view)
	if len(routes) == 0 {
		return route.Decision{}, false
	}
	candidates := make([]pick.Candidate, len(routes))
	for i, d := range routes {
		candidates[i] = r.candidate(view, d)
	}
	chosen, found := m.picker.Pick(candidates, rand.Float64)
	if !found {
		return route.Decision{}, false
	}
	return routes[chosen], true
}
