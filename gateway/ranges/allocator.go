package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// phase is what the lessor does with a range.
type phase int

const (
	granting  phase = iota // grants are sent and renewed
	releasing              // a release is under way, no grant is sent
	released               // the owner has let go; the next append moves the range
	expiring               // the owner is silent; its holds are waited out
)

// lease is the lessor's knowledge of one assignment.
type lease struct {
	Assignment
	service site.ServiceName
	phase   phase
	// heldUntil is when the last grant that has reached the owner has run out.
	heldUntil time.Time
	inFlight  []inFlightGrant // grants that may yet reach it
	// previousUntil is until when grants of former lessors may be in force, and formerDoubt
	// the same of those without an answer.
	previousUntil, previousUncertainUntil time.Time
	sentAt                                time.Time // of the latest grant
	callInFlight                          bool      // a call is under way
	hasUncertainGrant                     bool      // a grant under this fence had no answer
	// uncertainUntil is until when a grant without an answer that has reached the owner may
	// be in force, also one under a lower fence: a restart makes the owner forget the
	// fence that shut it out.
	uncertainUntil time.Time
	// earlierIncarnationUntil is until when a grant that was sent to an earlier run of the
	// owner may be in force, at whatever address.
	earlierIncarnationUntil time.Time
	confirmed               bool // the owner has answered a grant under this fence
	failures                int  // grants in a row without an answer
	// unacceptedSince is since when the owner's process has not accepted a connection that its
	// machine has taken; zero: it has.
	unacceptedSince time.Time
	next            site.ServerID
	releaseAt       time.Time     // when its release is sent
	handover        string        // from the release
	handoverFrom    site.ServerID // that gave the handover with which the owner got the range
	movedAt         time.Time     // when the owner changed last
	raiseFence      bool          // the fence is to be raised by the next append
	appendPending   bool          // an append that changes it is under way
	ownerKept       bool          // the owner had the range under the fence before
	// surgeSince and surgeUntil bound the time in which its load is taken from the quick
	// memory: it, or a range of which it is a part, has become busy within an instant.
	surgeSince, surgeUntil time.Time
}

// unresponsiveCooldown is for how long a server that did not answer gets no range while
// others can take it. One that stays in the register, as a server does that the lessor
// cannot reach, would be given its keys back each time their holds have run out,
// since it owns the fewest; each try costs a range a hold without an owner. The pause is
// longer than a new lessor waits for such a server's holds.
const unresponsiveCooldown = 15 * time.Second

// acceptTimeout is for how long an owner whose machine takes connections may not accept
// one before its calls count as missed. A full server accepts one when a request ends; to
// take it for silent would leave its keys without an owner while it serves them.
const acceptTimeout = 2 * time.Second

// awaitsAccept notes since when the owner has not accepted a connection, by a call that failed,
// and reports whether it may yet accept it.
func (l *lease) awaitsAccept(result Result, now time.Time) bool {
	if result.Fate != Unaccepted {
		l.unacceptedSince = time.Time{}
		return false
	}
	if l.unacceptedSince.IsZero() {
		l.unacceptedSince = now
	}
	return now.Sub(l.unacceptedSince) < acceptTimeout
}

// failuresToExpire is how many grants in a row go unanswered before a server
// counts as silent: one may be lost with its connection.
const failuresToExpire = 2

// Allocator is the state of the node that holds the lessor's lease: what it has
// granted, to whom, and until when. It is not safe for concurrent use.
type Allocator struct {
	self   Lessor
	timing Timing
	leases map[site.ServiceName][]*lease
	moves  []Move // planned and not yet told
	// compactedAt is when the ranges of a service were compacted last.
	compactedAt map[site.ServiceName]time.Time
	// currentHold is the hold of grants now.
	currentHold time.Duration
	// hasAbandonedGrants tells that calls have ended whose bytes may be under way.
	hasAbandonedGrants bool
	// serial grows with each change of what Routes returns.
	serial       uint64
	incarnations incarnations
	// excludedUntil is until when a server that did not answer gets no range.
	excludedUntil map[site.ServerID]time.Time
}

// FormerHold returns for how long what a former lessor granted may be in force
// after a claim: for its right and a hold.
func (t Timing) FormerHold() time.Duration { return t.GrantPeriod + t.EndedHold() }

// EndedHold returns for how long what a lessor granted may be in force after its process has
// ended.
func (t Timing) EndedHold() time.Duration { return t.maxTimeInForce(t.Hold) }

// idleMargin is kept of the time that FormerHoldAfter saves, for timers that fire late.
const idleMargin = 200 * time.Millisecond

// FormerHoldAfter returns the same for a claim at which the ownership topic had not
// grown for a while: the former lessor's right began before that.
func (t Timing) FormerHoldAfter(idle time.Duration) time.Duration {
	return max(t.FormerHold()-max(idle-idleMargin, 0), 0)
}

// NewAllocator returns the state of a new lessor that has appended table at time
// now. What the former lessor granted may be in force for formerHold.
func NewAllocator(table *Table, timing Timing, previousHold time.Duration, now time.Time) *Allocator {
	alloc := &Allocator{self: table.Lessor, timing: timing, leases: map[site.ServiceName][]*lease{}, compactedAt: map[site.ServiceName]time.Time{}, serial: 1, incarnations: newIncarnations(), excludedUntil: map[site.ServerID]time.Time{}}
	heldUntil := now.Add(previousHold)
	for service, assignments := range table.Services {
		for _, a := range assignments {
			l := &lease{Assignment: a, service: service, previousUntil: heldUntil, previousUncertainUntil: heldUntil, movedAt: now, ownerKept: a.Server != ""}
			alloc.leases[service] = append(alloc.leases[service], l)
		}
	}
	return alloc
}

// Serial returns a number that grows whenever Routes changes.
func (alloc *Allocator) Serial() uint64 { return alloc.serial }

// Route tells where requests for a range go.
type Route struct {
	Span
	Server site.ServerID
	State  RouteState
	// Until is, for a silent range, when it gets another owner at the latest, if
	// the present one does not answer again.
	Until time.Time
}

// RouteState is what a request for a range had better do.
type RouteState uint8

// States of a route.
const (
	// Moving ranges have a new owner in a moment; requests wait for it.
	Moving RouteState = iota
	// Ready ranges are served by their owner.
	Ready
	// Silent ranges wait for the holds of an owner that does not answer to run
	// out; that takes up to a hold.
	Silent
)

// Routes returns the present routes of every service.
func (alloc *Allocator) Routes() map[site.ServiceName][]Route {
	routes := make(map[site.ServiceName][]Route, len(alloc.leases))
	for service, leases := range alloc.leases {
		for _, l := range leases {
			route := Route{Span: l.Span, Server: l.Server, State: l.routeState()}
			if route.State == Silent {
				route.Until = l.likelyInForceUntil(alloc.timing)
			}
			routes[service] = append(routes[service], route)
		}
	}
	return routes
}

func (l *lease) routeState() RouteState {
	switch {
	case l.phase == expiring:
		return Silent
	case l.phase == granting && l.Server != "" && (l.confirmed || l.ownerKept):
		return Ready
	}
	return Moving
}

// Call is a call that the lessor must make now.
type Call struct {
	Service site.ServiceName
	Server  site.ServerID
	Release bool
	Grant   Grant // for a release, its span and fence
	SentAt  time.Time

	lease *lease
}

// Lease is the lessor's own lease in the store.
type Lease struct {
	ConfirmedAt time.Time // start of the latest append that succeeded
}

// hold returns for how long the lessor may grant now; 0: not at all.
func (alloc *Allocator) hold(lease Lease, now time.Time) time.Duration {
	if !now.Before(lease.ConfirmedAt.Add(alloc.timing.GrantPeriod)) {
		return 0
	}
	return alloc.timing.Hold
}

// Calls returns the calls that are due and counts them as sent at now. A server
// whose call is returned must be called at once, or Done be called with an
// error.
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

func (alloc *Allocator) due(l *lease, servers map[site.ServerID]site.Server, now time.Time) (Call, bool) {
	if l.Server == "" || l.callInFlight || l.raiseFence || l.appendPending || l.phase == released {
		return Call{}, false
	}
	if _, isEarlier := LaterRun(servers, l.Server); isEarlier {
		return Call{}, false // the next run would take it
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
	leaving := !registered || server.Draining
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
	if _, hasEnded := LaterRun(servers, l.handoverFrom); hasEnded {
		call.Grant.Handover = ""
	}
	l.callInFlight = true
	l.sentAt = now
	l.recordSent(hold, alloc.timing, now)
	return call, true
}

// grantHold returns the hold of the next grant of a range. What goes to a server that may
// be lost must not prolong the wait for it, unless there is none: nothing is in force.
func (alloc *Allocator) grantHold(l *lease, leaving bool, now time.Time) time.Duration {
	isUnheld := !leaving && l.failures < failuresToExpire && !now.Before(l.inForceUntil())
	if isUnheld || l.failures == 0 && !leaving {
		return alloc.currentHold
	}
	left := l.likelyInForceUntil(alloc.timing).Sub(now) - holdMargin - alloc.timing.CallTimeout - serverReadDelay
	return min(time.Duration(float64(left)/(1+clockDrift)), alloc.currentHold)
}

// minHold is the shortest hold worth a call.
const minHold = 50 * time.Millisecond

// Result is how a call ended.
type Result struct {
	Handover string
	Fenced   bool // the server has seen a higher fence
	Failed   bool // no answer, or one that is no result
	Fate     Fate // with Failed
	// ArrivedBy is by when an Arrived call had reached the server's machine; zero: by its end.
	ArrivedBy time.Time
}

// Done takes the result of a call.
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
		l.raiseFence = true
		alloc.setConfirmed(l, false)
	case result.Failed && l.awaitsAccept(result, now):
		l.sentAt = time.Time{} // the connection may be accepted at any moment
	case result.Failed:
		l.hasUncertainGrant = l.hasUncertainGrant || result.Fate.mayExecute()
		l.failures++
		if l.failures >= failuresToExpire {
			alloc.setPhase(l, expiring)
			alloc.excludedUntil[l.Server] = now.Add(unresponsiveCooldown)
		}
	default:
		l.failures = 0
		l.unacceptedSince = time.Time{}
		delete(alloc.excludedUntil, l.Server)
		alloc.setPhase(l, granting)
		alloc.setConfirmed(l, true)
		// A higher fence shuts out the grant that had no answer.
		l.raiseFence = l.hasUncertainGrant
	}
}

func (alloc *Allocator) releaseDone(l *lease, result Result) {
	if result.Failed || result.Fenced {
		// The release may take effect late: a higher fence makes it void.
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

func (alloc *Allocator) setPhase(l *lease, p phase) {
	if l.phase != p {
		l.phase = p
		alloc.serial++
	}
}

func (alloc *Allocator) setConfirmed(l *lease, confirmed bool) {
	if l.confirmed != confirmed {
		l.confirmed = confirmed
		alloc.serial++
	}
}

// canRelease reports whether a release lets the range change its owner at once:
// every grant under its fence must have been answered, since one that is still
// on its way would give the range back to the owner, and those under lower fences
// must have run out, since they would give it to the owner's next run.
func (l *lease) canRelease(now time.Time) bool {
	isCertain := l.confirmed && !l.hasUncertainGrant && !now.Before(l.uncertainReleaseAt())
	return l.phase == granting && isCertain && !l.callInFlight && !l.raiseFence && !l.appendPending
}

// uncertainReleaseAt returns when no grant without an answer can reach a later run of the
// owner any more. A server that tells no start has another name in each run: its
// ranges need not wait.
func (l *lease) uncertainReleaseAt() time.Time {
	if l.Server.Start().IsZero() {
		return time.Time{}
	}
	return l.uncertainInForceUntil()
}

// sortByKey keeps the leases of a service in the order of their keys.
func sortByKey(leases []*lease) []*lease {
	slices.SortFunc(leases, func(a, b *lease) int { return int(a.From - b.From) })
	return leases
}
