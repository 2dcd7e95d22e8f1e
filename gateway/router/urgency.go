package router

import (
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/metrics"
)

// byPriority counts the requests for mixed services that this node admitted, and those that it refused beyond the
// admitted share of their priority.
var byPriority = metrics.New("gateway_urgency").Map("by_service_priority_and_admission")

// noteAdmission records whether a new request for a mixed service was admitted by its priority. It is charged once, also
// if it waits for another server later.
func (x *exchange) noteAdmission(w *pool.Waiter, denied *pool.Refusal) {
	isBeyond := denied != nil && denied.Reason == pool.BeyondAdmission
	if x.isAdmitted || x.attempts > 0 || x.forwarded != nil || !isBeyond && !x.service.isMixed() {
		return
	}
	x.isAdmitted = !isBeyond
	admission := " admitted"
	if isBeyond {
		admission = " refused"
	}
	byPriority.Add(string(x.service.name)+" priority "+strconv.Itoa(w.Priority)+admission, 1)
}

// traceAdmission records the share that caused a refusal, and how old it is.
func (x *exchange) traceAdmission(r *pool.Refusal) {
	received := time.Since(x.router.state.Now().Guidance.ReceivedAt)
	x.trace.note("priority " + strconv.Itoa(x.route.Priority) + " gets " + strconv.FormatFloat(r.Share, 'g', 2, 64) + " of its requests, received " + milliseconds(received) + " ago")
}

// isMixed reports whether the service is served by urgency now.
func (s *service) isMixed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.IsMixed(time.Now())
}
