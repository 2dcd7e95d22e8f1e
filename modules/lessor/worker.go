package lessor

import (
	"context"
	"sync/atomic"
	"time"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/ring"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// inboxSize bounds the inputs that wait for a worker. Inputs from peers are
	// refused when the inbox is full. Results of this node's own calls, whose
	// number is bounded, wait in calls.results.
	inboxSize = 256
	// ticksPerRenewal is how often in a renewal interval a member with a part in
	// its group checks the time.
	ticksPerRenewal = 10
	// idleInterval is the longest interval between time checks of an idle member.
	idleInterval = 10 * time.Second
	// maxBatch bounds the inputs that are applied before the member acts.
	maxBatch = 64
)

// worker runs this node's part in a group. Its goroutine owns the member.
type worker struct {
	module *Module
	group  topo.GroupID
	member *core.Member
	inbox  *ring.Ring[input]
	calls  *calls
	// announcements have their own limit, so that they take no slots from other
	// calls.
	announcements *calls

	view   *state.View
	detail bool
	facts  *core.Facts
	last   core.Status
	lastAt time.Duration
	// unsettledSince is the time since which the lessor of unsettledTerm has been unsettled,
	// or math.MaxInt64 once that is logged.
	unsettledTerm  topo.Term
	unsettledSince time.Duration
	listsVersion   uint64 // version of the lists from which published.granted was made
	// idleFacts has the facts of an idle member, and is nil otherwise. wakeFor compares
	// them with a new view.
	idleFacts  atomic.Pointer[core.Facts]
	wake       chan struct{} // size 1
	stopped    chan struct{} // closed when the worker no longer takes input
	current    atomic.Pointer[published]
	dump       atomic.Pointer[core.Dump]
	dumpAt     time.Duration
	reportedAt map[topo.ServerID]time.Duration // time of the answer last passed to membership.ServerReports
}

// published is the part of the member's state that other goroutines read. It is
// immutable.
type published struct {
	role         core.Role
	term         topo.Term
	rightUntil   time.Duration
	hasRight     bool
	serviceUntil map[topo.Service]time.Duration
	granted      map[topo.ShardID]core.Holding
	// alone is true if no other node could take the term over.
	alone bool
}

func newWorker(m *Module, group topo.GroupID) *worker {
	w := &worker{
		module:     m,
		group:      group,
		member:     core.NewMember(m.config(group)),
		inbox:      ring.New[input]("lessor-"+string(group), inboxSize, ring.Refuse),
		reportedAt: map[topo.ServerID]time.Duration{},
		wake:       make(chan struct{}, 1),
		stopped:    make(chan struct{}),
		facts:      &core.Facts{},
	}
	w.calls = newCalls(maxCalls)
	w.announcements = newCalls(maxAnnouncements)
	w.current.Store(&published{})
	if m.draining.Load() {
		w.member.SetDraining()
	}
	return w
}

// run returns when ctx is done and the calls that it began have ended.
func (w *worker) run(ctx context.Context) {
	defer w.calls.running.Wait()
	defer w.announcements.running.Wait()
	defer close(w.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := w.module.source.Changed()
		w.observe()
		w.act(ctx)
		w.publish()
		if w.markIdle() {
			changed = nil // superviseGroups wakes this worker
		}
		pause := w.checkInterval()
		due := w.module.now() + pause
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-w.wake:
		case <-timer.C:
			now := w.module.now()
			w.member.NoteDelay(now, now-due)
		case in := <-w.inbox.Items():
			w.applyInputs(in)
		case in := <-w.calls.results:
			w.applyInputs(in)
		}
	}
}

// applyInputs applies an input and those that are queued after it.
func (w *worker) applyInputs(in input) {
	for range maxBatch {
		in.apply(w.member, w.module.now())
		select {
		case in = <-w.calls.results:
		case in = <-w.inbox.Items():
		default:
			return
		}
	}
}

// markIdle reports whether the member is idle, so that only a change to its group has to
// wake it. A record for another group then costs the worker nothing.
func (w *worker) markIdle() bool {
	w.idleFacts.Store(nil)
	if !w.member.Idle() {
		return false
	}
	w.idleFacts.Store(w.facts)
	// A view that arrived before the facts were stored was not compared with them.
	return w.module.source.View() == w.view
}

// wakeFor wakes an idle member if a view changes its facts.
func (w *worker) wakeFor(view *state.View, nodes []state.Node) {
	facts := w.idleFacts.Load()
	if facts == nil || facts.Current(view, nodes) {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// checkInterval returns how long the member may wait until its next time check.
func (w *worker) checkInterval() time.Duration {
	timing := w.module.timing
	if w.idleFacts.Load() != nil {
		return idleInterval
	}
	if pause, watches := w.member.WatchPause(w.module.now()); watches {
		return pause
	}
	if w.member.Role() == core.RoleNone {
		return timing.HeartbeatEvery
	}
	return timing.RenewEvery / ticksPerRenewal
}

// observe passes the latest state to the member. The contact is read before the view,
// see core.Member.Observe.
func (w *worker) observe() {
	contact := w.module.contact.LastContact()
	view := w.module.source.View()
	detail := w.needsDetail(view)
	if view != w.view || detail != w.detail {
		w.updateFacts(view, detail)
	}
	known := !contact.IsZero()
	var askedAt time.Duration
	if known {
		askedAt = contact.Sub(w.module.started)
	}
	w.member.Observe(w.module.now(), askedAt, known, w.facts)
	w.member.LogFailing(w.module.now(), w.module.contact.Failing())
}

// updateFacts derives the facts from a newer view. A member without a part in its group
// keeps the existing facts if the view does not change them.
func (w *worker) updateFacts(view *state.View, detail bool) {
	nodes := w.module.nodesOf(view)
	same := w.view != nil && !detail && !w.detail && w.facts.Current(view, nodes)
	w.view, w.detail = view, detail
	if !same {
		w.facts = core.FactsOf(view, nodes, w.group, detail)
	}
}

// needsDetail reports whether this incarnation is the lessor or standby lessor of the
// group in the view.
func (w *worker) needsDetail(view *state.View) bool {
	group, exists := view.Group(w.group)
	if !exists {
		return false
	}
	self := w.module.self
	lessor := core.Incarnation{Node: group.Lessor, Boot: group.LessorBoot}
	standby := core.Incarnation{Node: group.Standby, Boot: group.StandbyBoot}
	return self == lessor || self == standby
}

// act starts the actions that are due.
func (w *worker) act(ctx context.Context) {
	for _, action := range w.member.Plan(w.module.now()) {
		w.start(ctx, action)
	}
}

// start begins one action. Each Begin method checks again whether the action is
// allowed at that time.
func (w *worker) start(ctx context.Context, action core.Action) {
	now := w.module.now()
	switch a := action.(type) {
	case core.Renew:
		w.renew(ctx, now, a.Server)
	case core.Acknowledge:
		w.acknowledge(ctx, now, a.Server)
	case core.SendHeartbeat:
		w.heartbeat(ctx, now, a.To)
	case core.Ask:
		w.askPrevious(ctx, now, a.Node)
	case core.Probe:
		w.probe(ctx, now, a.Node)
	case core.ClaimTerm:
		w.claim(ctx)
	case core.Submit:
		w.submit(ctx, now)
	case core.Announce:
		w.announce(ctx, now)
	case core.TakeOverOffLog:
		if w.member.BeginTakeOverOffLog(now) {
			metricTakeoversOffLog.Add(1)
			eventTookOverOffLog.Log(w.module.logger, "group", w.group, "term", w.member.Term())
		}
	case core.Activate:
		if w.member.BeginActivate(now, a.Shard) {
			metricActivations.Add(1)
			eventActivated.Log(w.module.logger, "group", w.group, "shard", a.Shard)
		}
	case core.ChangeMode:
		w.member.BeginChangeMode(a.To)
	}
}
