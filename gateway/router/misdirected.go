package router

import (
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// misdirectedPause is how long no request is sent for the keys of a range after their owner refused
// one as misdirected.
const misdirectedPause = 100 * time.Millisecond

// ownedRange is a range of keys with the server that owns it by the node's view.
type ownedRange struct {
	span  ranges.Span
	owner site.ServerID
}

// misdirections records the ranges whose owner refused a request as misdirected (421), since its
// lease had expired or the view is out of date. It refuses all others as well until the lessor
// renews the lease or another server owns the range, and each of them would take a retry from the
// budget of its service. So one request at a time tries.
type misdirections map[ownedRange]time.Time // until when no request is sent

// note records that the owner of a range refused a request at a time.
func (m misdirections) note(r ownedRange, now time.Time) {
	for other, until := range m {
		if now.Sub(until) > ownerTimeout { // nobody waits for it
			delete(m, other)
		}
	}
	m[r] = now.Add(misdirectedPause)
}

// tryAgain reports whether a request may be sent to the owner of a range. If not, it returns how
// long to wait; if the owner refused the last request, others wait for the outcome of this one.
func (m misdirections) tryAgain(r ownedRange, now time.Time) (wait time.Duration, mayTry bool) {
	until, isRefused := m[r]
	if !isRefused {
		return 0, true
	}
	if now.Before(until) {
		return until.Sub(now), false
	}
	m[r] = now.Add(misdirectedPause)
	return 0, true
}

// noteOwnerAnswer records whether an answered attempt was misdirected.
func (x *exchange) noteOwnerAnswer(attempt attemptResult) {
	route, found := x.router.state.Now().RouteOf(x.service.name, x.key)
	if !x.keyed || !found || route.Server != attempt.server.ID {
		return
	}
	isMisdirected := attempt.answer.Status == http.StatusMisdirectedRequest
	if x.service.noteOwnerAnswer(ownedRange{route.Span, route.Server}, isMisdirected) {
		x.trace.note(string(route.Server) + " does not hold the key; pause for its range")
	}
}

// noteOwnerAnswer records an answer of the owner of a range, and reports whether a pause began.
func (s *service) noteOwnerAnswer(r ownedRange, isMisdirected bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isMisdirected {
		delete(s.misdirected, r)
		return false
	}
	s.misdirected.note(r, time.Now())
	return true
}

func (s *service) mayTryOwner(route ranges.Route) (wait time.Duration, mayTry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.misdirected.tryAgain(ownedRange{route.Span, route.Server}, time.Now())
}
