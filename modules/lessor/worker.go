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
	// refused when it is full; ends of this node's own calls, whose number is
	// bounded, wait.
	inboxSize = 256
	// ticksPerRenewal is how often in a renewal interval a member with a part
	// in its group looks at the time.
	ticksPerRenewal = 10
	// restMost is how long a member at rest goes without a look at the time.
	restMost = 10 * time.Second
	// batchMost bounds the inputs taken before the member acts.
	batchMost = 64
)

// worker is the one goroutine that owns this node's part in a group.
type worker struct {
	module *Module
	group  topo.GroupID
	member *core.Member
	inbox  *ring.Ring[input]
	calls  *calls
	// announcements run apart, so that they take no room from the rest.
	announcements *calls

	view   *state.View
	detail bool
	facts  *core.Facts
	last   core.Status
	lastAt time.Duration
	// awaitsFrom is since when the lessor of awaitsTerm has not been settled, or later
	// than any time once that is logged.
	awaitsTerm topo.Term
	awaitsFrom time.Duration
	lists      uint64 // version of what published.granted was made from
	// resting has the facts of a member at rest, for whoever wakes it.
	resting atomic.Pointer[core.Facts]
	wake    chan struct{} // size 1
	ended   chan struct{} // closed when no input is taken any more
	current atomic.Pointer[published]
	dump    atomic.Pointer[core.Dump]
	dumpAt  time.Duration
	told    map[topo.ServerID]time.Duration // passed on to membership.Words
}

// published is what other goroutines may know of the member.
type published struct {
	role    core.Role
	term    topo.Term
	until   time.Duration
	has     bool
	ends    map[topo.Service]time.Duration
	granted map[topo.ShardID]core.Holding
	// alone is true if no other node could take the term over.
	alone bool
}

func newWorker(m *Module, group topo.GroupID) *worker {
	w := &worker{
		module: m,
		group:  group,
		member: core.NewMember(m.config(group)),
		inbox:  ring.New[input]("lessor-"+string(group), inboxSize, ring.Refuse),
		told:   map[topo.ServerID]time.Duration{},
		wake:   make(chan struct{}, 1),
		ended:  make(chan struct{}),
		facts:  &core.Facts{},
	}
	w.calls = newCalls(callsMost)
	w.announcements = newCalls(announcementsMost)
	w.current.Store(&published{})
	if m.draining.Load() {
		w.member.SetDraining()
	}
	return w
}

// run ends with ctx, after the calls that it began.
func (w *worker) run(ctx context.Context) {
	defer w.calls.running.Wait()
	defer w.announcements.running.Wait()
	defer close(w.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := w.module.source.Changed()
		w.observe()
		w.act(ctx)
		w.publish()
		if w.rest() {
			changed = nil // whoever sees a change wakes it
		}
		pause := w.pause()
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
			w.take(in)
		case in := <-w.calls.ended:
			w.take(in)
		}
	}
}

// take applies an input and those that wait behind it.
func (w *worker) take(in input) {
	for range batchMost {
		in.apply(w.member, w.module.now())
		select {
		case in = <-w.calls.ended:
		case in = <-w.inbox.Items():
		default:
			return
		}
	}
}

// rest tells whether the member is at rest, so that only news for its group
// need wake it: a record that others wrote for other groups costs it nothing.
func (w *worker) rest() bool {
	w.resting.Store(nil)
	if !w.member.Rests() {
		return false
	}
	w.resting.Store(w.facts)
	// A view that came before this was stored was not compared with these facts.
	return w.module.source.View() == w.view
}

// wakeFor wakes a member at rest if a view has news for it.
func (w *worker) wakeFor(view *state.View, nodes []state.Node) {
	facts := w.resting.Load()
	if facts == nil || facts.Current(view, nodes) {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default: // it has been woken already
	}
}

// pause is how long the member may wait for the next look at the time.
func (w *worker) pause() time.Duration {
	timing := w.module.timing
	if w.resting.Load() != nil {
		return restMost
	}
	if pause, watches := w.member.WatchPause(w.module.now()); watches {
		return pause
	}
	if w.member.Role() == core.RoleNone {
		return timing.HeartbeatEvery
	}
	return timing.RenewEvery / ticksPerRenewal
}

// observe tells the member the latest state. The contact is looked up before
// the view, see core.Member.Observe.
func (w *worker) observe() {
	contact := w.module.contact.LastContact()
	view := w.module.source.View()
	detail := w.needsDetail(view)
	if view != w.view || detail != w.detail {
		w.takeFacts(view, detail)
	}
	known := !contact.IsZero()
	var askedAt time.Duration
	if known {
		askedAt = contact.Sub(w.module.started)
	}
	w.member.Observe(w.module.now(), askedAt, known, w.facts)
	w.member.LogFailing(w.module.now(), w.module.contact.Failing())
}

// takeFacts derives the facts from a newer view. A member without a part keeps
// those that it has if they would say the same.
func (w *worker) takeFacts(view *state.View, detail bool) {
	nodes := w.module.nodesOf(view)
	same := w.view != nil && !detail && !w.detail && w.facts.Current(view, nodes)
	w.view, w.detail = view, detail
	if !same {
		w.facts = core.FactsOf(view, nodes, w.group, detail)
	}
}

// needsDetail reports whether the view names this run as lessor or standby
// lessor of the group.
func (w *worker) needsDetail(view *state.View) bool {
	group, exists := view.Group(w.group)
	if !exists {
		return false
	}
	self := w.module.self
	lessor := core.Run{Node: group.Lessor, Boot: group.LessorBoot}
	standby := core.Run{Node: group.Standby, Boot: group.StandbyBoot}
	return self == lessor || self == standby
}

// act starts what is due.
func (w *worker) act(ctx context.Context) {
	for _, action := range w.member.Plan(w.module.now()) {
		w.start(ctx, action)
	}
}

// start begins one action. Each Begin method checks once more that the action
// is allowed at that moment.
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
		w.ask(ctx, now, a.Node)
	case core.Probe:
		w.probe(ctx, now, a.Node)
	case core.ClaimTerm:
		w.claim(ctx)
	case core.Submit:
		w.submit(ctx, now)
	case core.Announce:
		w.announce(ctx, now)
	case core.GoOn:
		if w.member.BeginGoOn(now) {
			metricWentOn.Add(1)
			eventWentOn.Log(w.module.logger, "group", w.group, "term", w.member.Term())
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
