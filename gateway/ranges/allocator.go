package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// phase is the state of a range in the lessor.
type phase int

const (
	granting  phase = iota // grants are sent and renewed
	releasing              // a release is scheduled or in flight, no grant is sent
	released               // the owner has released the range; the next append moves it
	expiring               // the owner is unresponsive; the lessor waits for its holds to expire
)

// rangeState is the lessor's state of one assignment.
type rangeState struct {
	Assignment
	service site.ServiceName
	phase   phase
	// heldUntil is when the last grant that has reached the owner expires.
	heldUntil time.Time
	inFlight  []inFlightGrant // grants that may still reach the owner
	// previousUntil is when the last grant of previous lessors may expire, and
	// previousUncertainUntil is the same for their uncertain grants.
	previousUntil, previousUncertainUntil time.Time
	sentAt                                time.Time // when the latest grant was sent
	callInFlight                          bool      // a call to the owner is in flight
	hasUncertainGrant                     bool      // a grant under this fence had no response
	// uncertainUntil is when the last uncertain grant that has reached the owner may
	// expire. It includes grants under lower fences, because the owner forgets the higher
	// fence, which rejects them, when it restarts.
	uncertainUntil time.Time
	// earlierIncarnationUntil is when the last grant that was sent to an earlier
	// incarnation of the owner, at any address, may expire.
	earlierIncarnationUntil time.Time
	confirmed               bool      // the owner has answered a grant under this fence
	acceptedAt              time.Time // when the latest accepted grant under this fence was sent
	failures                int       // consecutive grants without a response
	// unacceptedSince is when the owner's process was first observed not to accept a
	// connection that the kernel of its machine had established; zero if it accepts
	// connections.
	unacceptedSince time.Time
	next            site.ServerID
	releaseAt       time.Time     // when the release is sent
	handover        string        // returned by the release
	handoverFrom    site.ServerID // server whose handover the owner received with the range
	movedAt         time.Time     // when the owner last changed
	raiseFence      bool          // the next append must raise the fence
	appendPending   bool          // an append that changes the range is in flight
	ownerKept       bool          // the owner already had the range under the previous fence
	// surgeSince and surgeUntil bound the time in which the load of the range is taken from
	// the short-term average, because the range, or one from which it was split, has
	// suddenly become busy.
	surgeSince, surgeUntil time.Time
}

// unresponsiveCooldown is how long a server that did not respond gets no range while other
// servers can take it. A server that the lessor cannot reach may stay in the registry.
// Such a server has lost its keys, so it owns the fewest and would be chosen again each
// time; each attempt leaves a range without an owner for a hold. The cooldown is longer than
// a new lessor waits for the holds of such a server.
const unresponsiveCooldown = 15 * time.Second

// acceptTimeout is how long an owner whose machine establishes connections may leave one
// unaccepted before its calls are treated as failed. A full server accepts a connection
// when a request ends. Treating it as unresponsive would leave its keys without an owner
// while it serves them.
const acceptTimeout = 2 * time.Second

// awaitsAccept records the result of a failed call and reports whether the owner may still
// accept the connection within acceptTimeout.
func (l *rangeState) awaitsAccept(result Result, now time.Time) bool {
	if result.Outcome != Unaccepted {
		l.unacceptedSince = time.Time{}
		return false
	}
	if l.unacceptedSince.IsZero() {
		l.unacceptedSince = now
	}
	return now.Sub(l.unacceptedSince) < acceptTimeout
}

// failuresToExpire is the number of consecutive grants without a response after which a
// server is treated as unresponsive. A single grant may be lost with its connection.
const failuresToExpire = 2

// Allocator is the state of the node that holds the lessor's lease: which ranges it has
// granted, to which servers, and until when. It is not safe for concurrent use.
type Allocator struct {
	self   Lessor
	timing Timing
	leases map[site.ServiceName][]*rangeState
	moves  []Move // planned and not yet returned by Moves
	// compactedAt is when the ranges of each service were last compacted.
	compactedAt map[site.ServiceName]time.Time
	// currentHold is the hold of new grants.
	currentHold time.Duration
	// hasAbandonedGrants is set if calls have ended whose bytes may still be in flight.
	hasAbandonedGrants bool
	fencedAt           time.Time // when the latest grant that was refused for its fence was sent
	// serial is incremented whenever the result of Routes changes.
	serial       uint64
	incarnations incarnations
	// excludedUntil is until when each server that did not respond gets ranges only if there
	// is no other server.
	excludedUntil map[site.ServerID]time.Time
}

// NewAllocator returns the state of a new lessor that has appended table at time now.
// Grants of the previous lessor may be in force for previousHold.
func NewAllocator(table *Table, timing Timing, previousHold time.Duration, now time.Time) *Allocator {
	alloc := &Allocator{self: table.Lessor, timing: timing, leases: map[site.ServiceName][]*rangeState{}, compactedAt: map[site.ServiceName]time.Time{}, serial: 1, incarnations: newIncarnations(), excludedUntil: map[site.ServerID]time.Time{}}
	heldUntil := now.Add(previousHold)
	for service, assignments := range table.Services {
		for _, a := range assignments {
			l := &rangeState{Assignment: a, service: service, previousUntil: heldUntil, previousUncertainUntil: heldUntil, movedAt: now, ownerKept: a.Server != ""}
			alloc.leases[service] = append(alloc.leases[service], l)
		}
	}
	return alloc
}

// Serial returns a number that grows whenever the result of Routes changes.
func (alloc *Allocator) Serial() uint64 { return alloc.serial }

// Route describes where requests for a range are sent.
type Route struct {
	Span
	Server site.ServerID
	State  RouteState
	// Until is set for an unresponsive range. It is the time at which the range is expected
	// to get another owner if the present owner does not respond again; it may be later if a
	// grant still waits in the lessor's own link.
	Until time.Time
}

// RouteState is the state of a route, which determines how requests for it are handled.
type RouteState uint8

// States of a route.
const (
	// Moving ranges are about to get a new owner; requests wait for it.
	Moving RouteState = iota
	// Ready ranges are served by their owner.
	Ready
	// Unresponsive ranges have an owner that does not respond. They get another owner when its
	// holds have expired, which takes up to a hold.
	Unresponsive
)

// Routes returns the current routes of every service.
func (alloc *Allocator) Routes() map[site.ServiceName][]Route {
	routes := make(map[site.ServiceName][]Route, len(alloc.leases))
	for service, leases := range alloc.leases {
		for _, l := range leases {
			route := Route{Span: l.Span, Server: l.Server, State: l.routeState()}
			if route.State == Unresponsive {
				route.Until = l.likelyInForceUntil(alloc.timing)
			}
			routes[service] = append(routes[service], route)
		}
	}
	return routes
}

func (l *rangeState) routeState() RouteState {
	switch {
	case l.phase == expiring:
		return Unresponsive
	case l.phase == granting && l.Server != "" && (l.confirmed || l.ownerKept):
		return Ready
	}
	return Moving
}

// Call is a call that the lessor must make immediately.
type Call struct {
	Service site.ServiceName
	Server  site.ServerID
	Release bool
	Grant   Grant // for a release, only its span and fence are set
	SentAt  time.Time

	lease *rangeState
}

// Lease is the lessor's own lease in the store.
type Lease struct {
	ConfirmedAt time.Time // when the latest successful append was started
}

// hold returns the hold that the lessor may grant now, or 0 if it may not grant.
func (alloc *Allocator) hold(lease Lease, now time.Time) time.Duration {
	if !now.Before(lease.ConfirmedAt.Add(alloc.timing.GrantPeriod)) {
		return 0
	}
	return alloc.timing.Hold
}

// Calls returns the calls that are due and records them as sent at now. The caller must
// make each of them at once, or call Done with a failed result.
func (alloc *Allocator) Calls(servers map[site.ServerID]site.Server, lease Lease, now time.Time) []Call {
	alloc.currentHold = alloc.hold(lease, now)
	if alloc.currentHold == 0 {
		return nil
	}
	var calls []Call
	for _, leases := range alloc.leases {
		for _, l := range leases {
			if call, due := alloc.due(l, servers, now); due {
				calls = append(calls, call)
			}
		}
	}
	return calls
}

func (alloc *Allocator) due(l *rangeState, servers map[site.ServerID]site.Server, now time.Time) (Call, bool) {
	if l.Server == "" || l.callInFlight || l.raiseFence || l.appendPending || l.phase == released {
		return Call{}, false
	}
	if _, isEarlier := LaterIncarnation(servers, l.Server); isEarlier {
		return Call{}, false // the range moves to the later incarnation
	}
	call := Call{Service: l.service, Server: l.Server, SentAt: now, lease: l}
	if l.phase == releasing {
		if now.Before(l.releaseAt) {
			return Call{}, false
		}
		call.Release = true
		call.Grant.Assignment = l.Assignment
		l.callInFlight = true
		return call, true
	}
	server, registered := servers[l.Server]
	leaving := !registered || server.IsLeaving()
	wait := alloc.timing.Renew
	if l.failures == 1 {
		wait = 0 // the connection may have been at fault
	}
	if !l.sentAt.IsZero() && now.Sub(l.sentAt) < wait {
		return Call{}, false
	}
	hold := alloc.grantHold(l, leaving, now)
	if hold < minHold {
		return Call{}, false
	}
	call.Grant = Grant{Assignment: l.Assignment, Hold: hold}
	if _, hasEnded := LaterIncarnation(servers, l.handoverFrom); hasEnded {
		call.Grant.Handover = ""
	}
	l.callInFlight = true
	l.sentAt = now
	l.recordSent(hold, alloc.timing, now)
	return call, true
}

// grantHold returns the hold of the next grant of a range. The hold of a grant to a server
// that is leaving or has not responded must end before the holds in force do, so that the
// range can be reassigned no later. If no grant is in force, the server is not leaving, and
// fewer than failuresToExpire grants have failed, it gets a full hold.
func (alloc *Allocator) grantHold(l *rangeState, leaving bool, now time.Time) time.Duration {
	isUnheld := !leaving && l.failures < failuresToExpire && !now.Before(l.inForceUntil())
	if isUnheld || l.failures == 0 && !leaving {
		return alloc.currentHold
	}
	left := l.likelyInForceUntil(alloc.timing).Sub(now) - holdMargin - alloc.timing.CallTimeout - serverReadDelay
	return min(time.Duration(float64(left)/(1+clockDrift)), alloc.currentHold)
}

// minHold is the shortest hold for which a grant is sent.
const minHold = 50 * time.Millisecond

// Result is the result of a call.
type Result struct {
	Handover string
	Fenced   bool    // the server has seen a higher fence
	Failed   bool    // no response, or an invalid one
	Outcome  Outcome // set if Failed
	// ArrivedBy is the time by which an Arrived call had reached the server's machine;
	// zero: the end of the call.
	ArrivedBy time.Time
}

// Done records the result of a call.
func (alloc *Allocator) Done(call Call, result Result, now time.Time) {
	l := call.lease
	l.callInFlight = false
	if !call.Release {
		l.recordResult(result, alloc.timing, now)
		alloc.hasAbandonedGrants = alloc.hasAbandonedGrants || l.hasAbandonedGrants()
	}
	if !result.Failed {
		alloc.Answered(call.SentAt, now)
	}
	if l.Fence != call.Grant.Fence || l.Server != call.Server {
		return
	}
	if call.Release {
		alloc.releaseDone(l, result)
		return
	}
	switch {
	case result.Fenced:
		alloc.fencedAt = call.SentAt
		l.raiseFence = true
		alloc.setConfirmed(l, false)
	case result.Failed && l.awaitsAccept(result, now):
		l.sentAt = time.Time{} // retry at once, the connection may be accepted at any moment
	case result.Failed:
		l.hasUncertainGrant = l.hasUncertainGrant || result.Outcome.mayExecute()
		l.failures++
		if l.failures >= failuresToExpire {
			alloc.setPhase(l, expiring)
			alloc.excludedUntil[l.Server] = now.Add(unresponsiveCooldown)
		}
	default:
		l.acceptedAt = call.SentAt
		l.failures = 0
		l.unacceptedSince = time.Time{}
		delete(alloc.excludedUntil, l.Server)
		alloc.setPhase(l, granting)
		alloc.setConfirmed(l, true)
		// A higher fence makes the server reject the uncertain grant.
		l.raiseFence = l.hasUncertainGrant
	}
}

func (alloc *Allocator) releaseDone(l *rangeState, result Result) {
	if result.Failed || result.Fenced {
		// The release may take effect late. A higher fence makes the server reject it.
		l.raiseFence = true
		l.hasUncertainGrant = true
		l.next = ""
		alloc.setPhase(l, granting)
		alloc.setConfirmed(l, false)
		return
	}
	l.handover = result.Handover
	alloc.setPhase(l, released)
}

func (alloc *Allocator) setPhase(l *rangeState, p phase) {
	if l.phase != p {
		l.phase = p
		alloc.serial++
	}
}

func (alloc *Allocator) setConfirmed(l *rangeState, confirmed bool) {
	if l.confirmed != confirmed {
		l.confirmed = confirmed
		alloc.serial++
	}
}

// canRelease reports whether the range can change its owner as soon as a release succeeds.
// Every grant under the range's fence must have been answered, because one that is still in
// flight would give the range back to the owner. Uncertain grants under lower fences must
// have expired, because they would give the range to the owner's next incarnation.
func (l *rangeState) canRelease(now time.Time) bool {
	isCertain := l.confirmed && !l.hasUncertainGrant && !now.Before(l.uncertainReleaseAt())
	return l.phase == granting && isCertain && !l.callInFlight && !l.raiseFence && !l.appendPending
}

// uncertainReleaseAt returns when uncertain grants no longer prevent a release because none
// of them can reach a later incarnation of the owner. A server that does not report its
// start time has a different name in each incarnation, so its ranges need not wait.
func (l *rangeState) uncertainReleaseAt() time.Time {
	if l.Server.Start().IsZero() {
		return time.Time{}
	}
	return l.uncertainInForceUntil()
}

// sortByKey sorts the ranges of a service by their keys.
func sortByKey(leases []*rangeState) []*rangeState {
	slices.SortFunc(leases, func(a, b *rangeState) int { return int(a.From - b.From) })
	return leases
}
