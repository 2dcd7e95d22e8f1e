package router

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

// loadCheck is the result of a load check.
type loadCheck struct {
	server site.ServerID
	health upstream.Health
	err    error
}

// isAnswered reports whether the server answered, as healthy or not: one that answers can run a
// request, whatever it says of its health.
func (c loadCheck) isAnswered() bool {
	var unhealthy *upstream.UnhealthyError
	return c.err == nil || errors.As(c.err, &unhealthy)
}

// isConnected reports whether the server took the connection of the check: one that then does not
// answer is running, and busy.
func (c loadCheck) isConnected() bool {
	var attempt *upstream.AttemptError
	return errors.As(c.err, &attempt) && (attempt.Rejected || attempt.Sent)
}

// checkLoads asks some servers that may run the request for their load, and records those that
// answered in time: servers of the own zone, and of others if none of these is expected to answer the
// request well within the target.
func (x *exchange) checkLoads(ctx context.Context, w *pool.Waiter) {
	path := x.healthPath()
	if path == "" {
		return
	}
	for _, ofOwnZone := range []bool{true, false} {
		servers := x.service.serversToCheck(w, ofOwnZone)
		w.Checked = append(w.Checked, x.checkAll(ctx, servers, path)...)
		if !x.service.needsMoreChecks(w) {
			return
		}
	}
}

// healthPath returns the path of health checks of the request's service; empty: there are none.
func (x *exchange) healthPath() string {
	if x.view.Config == nil {
		return ""
	}
	return x.view.Config.Services[x.service.name].HealthPath
}

// checkAll checks the load of servers, all at once, and returns those that answered in time.
func (x *exchange) checkAll(ctx context.Context, servers []site.Server, path string) []site.ServerID {
	if len(servers) == 0 {
		return nil
	}
	results := make(chan loadCheck, len(servers))
	for _, server := range servers {
		go func() { results <- x.checkLoad(ctx, server, path) }()
	}
	var checked []site.ServerID
	for range servers {
		if result := <-results; result.err == nil && result.health.Load != nil {
			checked = append(checked, result.server)
		}
	}
	return checked
}

// checkLoad checks the load of a server and reports the result to the pool.
func (x *exchange) checkLoad(ctx context.Context, server site.Server, path string) loadCheck {
	ctx, cancel := context.WithTimeout(ctx, pool.CheckTimeout)
	defer cancel()
	loadChecks.Add(1)
	health, err := x.router.client.CheckHealth(ctx, server, path)
	result := loadCheck{server.ID, health, err}
	x.service.recordCheck(result, err != nil && ctx.Err() != nil)
	return result
}

func (s *service) needsMoreChecks(w *pool.Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.NeedsMoreChecks(w, time.Now())
}

func (s *service) serversToCheck(w *pool.Waiter, ofOwnZone bool) []site.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ServersToCheck(w, ofOwnZone, time.Now())
}

func (s *service) recordCheck(result loadCheck, isLate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rest, _ := restLeft(result.err)
	s.pool.Rest(result.server, max(result.health.Rest, rest), time.Now())
	s.pool.RecordCheck(result.server, result.health.Load, result.health.WarmUp, isLate, time.Now())
}
