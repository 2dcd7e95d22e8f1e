package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	core "github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/ring"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/submit"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// answersSize bounds the queue of Status results for the duty. The watcher blocks
// while the queue is full.
const answersSize = 64

// duty is the state of the single goroutine that tracks the other nodes and makes
// the membership decisions.
type duty struct {
	module  *Module
	logger  hclog.Logger
	answers *ring.Ring[nodeAnswer]
	lists   *ring.Ring[vmList]
	// targets is the []topo.NodeID that the watcher calls. wantsList tells the
	// reader whether to read the VM list.
	targets   atomic.Value
	wantsList atomic.Bool

	live   *core.Liveness
	roster *core.Roster
	// nodeRing is made from ringView, and again for each new view.
	ringView  *state.View
	nodeRing  core.NodeRing
	heldRoles map[core.Role]bool
}

func newDuty(m *Module) *duty {
	d := &duty{
		module:    m,
		logger:    m.logger,
		answers:   ring.New[nodeAnswer]("membership-answers", answersSize, ring.Wait),
		lists:     ring.New[vmList]("membership-lists", 1, ring.Wait),
		live:      core.NewLiveness(),
		roster:    core.NewRoster(),
		heldRoles: map[core.Role]bool{},
	}
	d.targets.Store([]topo.NodeID(nil))
	return d
}

// run returns when ctx is done.
func (d *duty) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := d.module.source.Changed()
		d.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		case <-d.module.reports.Changed():
		case <-d.module.writer.Finished():
		case answer := <-d.answers.Items():
			d.handleAnswer(answer)
		case list := <-d.lists.Items():
			d.roster.Update(list.vms, list.asked)
		}
	}
}

func (d *duty) handleAnswer(a nodeAnswer) {
	now := time.Now()
	wasUnresponsive := d.live.Unresponsive(a.node, now)
	if a.failed {
		d.live.Failed(a.node, a.began)
	} else {
		d.live.Answered(a.node, a.answer, now)
	}
	switch isUnresponsive := d.live.Unresponsive(a.node, now); {
	case isUnresponsive && !wasUnresponsive:
		eventNodeUnresponsive.Log(d.logger, "peer", a.node)
	case wasUnresponsive && !isUnresponsive:
		eventNodeResponsive.Log(d.logger, "peer", a.node)
	}
}

// step decides on the basis of the current state and observations, and submits the
// resulting records.
func (d *duty) step(ctx context.Context, now time.Time) {
	view := d.module.source.View()
	d.publish(view, now)
	if d.module.draining.Load() {
		d.wantsList.Store(false)
		return
	}
	d.updateHeldRoles()
	observed := d.observe(view, now)
	d.wantsList.Store(observed.Holder || d.needsList(view, observed))
	if !d.joined(view) {
		d.offer(ctx, d.join())
		return
	}
	d.offer(ctx, append(d.serverRecords(view, observed), d.nodeRecords(view, observed)...))
}

func (d *duty) offer(ctx context.Context, batch []submit.Submission) {
	if len(batch) > 0 && !d.module.writer.Offer(ctx, batch) {
		metricDeferred.Add(1)
	}
}

// publish updates the snapshot for other goroutines and the targets of the watcher.
func (d *duty) publish(view *state.View, now time.Time) {
	if view != d.ringView {
		d.ringView = view
		d.nodeRing = core.NewNodeRing(view.Nodes())
	}
	self := d.module.identity.Node
	unresponsive := func(id topo.NodeID) bool { return d.live.Unresponsive(id, now) }
	watched := d.nodeRing.Watched(self, unresponsive)
	for _, id := range core.OtherWatchers(d.nodeRing, d.live, self, now) {
		if !slices.Contains(watched, id) {
			watched = append(watched, id)
		}
	}
	d.live.Keep(watched)
	d.targets.Store(watched)
	next := &snapshot{ring: d.nodeRing, unresponsive: d.live.AllUnresponsive(now)}
	for _, id := range watched {
		if d.live.Unable(id, now) {
			next.unable = append(next.unable, id)
		}
	}
	d.module.published.Store(next)
}

// updateHeldRoles records which roles this node holds, and logs changes.
func (d *duty) updateHeldRoles() {
	for _, role := range []core.Role{core.RoleServers, core.RolePlanner} {
		holds := d.module.Holds(role)
		switch {
		case holds && !d.heldRoles[role]:
			eventRoleAcquired.Log(d.logger, "role", role)
		case !holds && d.heldRoles[role]:
			eventRoleReleased.Log(d.logger, "role", role)
		}
		d.heldRoles[role] = holds
	}
}

func (d *duty) observe(view *state.View, now time.Time) *core.Observed {
	d.forgetReportsOfOtherLessors(view)
	d.roster.ObserveState(view, now)
	return &core.Observed{
		Now:     now,
		Self:    d.module.identity.Node,
		Holder:  d.heldRoles[core.RoleServers],
		Roster:  d.roster,
		Reports: d.module.reports.All(),
		Unable:  d.module.Unable,
	}
}

// forgetReportsOfOtherLessors removes the reports of servers that this node is not the lessor of.
func (d *duty) forgetReportsOfOtherLessors(view *state.View) {
	for id := range d.module.reports.All() {
		server, exists := view.Server(id)
		group, _ := view.Group(server.Group)
		if !exists || group.Lessor != d.module.identity.Node {
			d.module.reports.Forget(id)
		}
	}
}

// needsList reports whether this node needs the VM list although it does not hold
// RoleServers: a node that it watches is unresponsive, or a server of which it is
// the lessor is unresponsive or not live.
func (d *duty) needsList(view *state.View, o *core.Observed) bool {
	if len(d.live.AllUnresponsive(o.Now)) > 0 {
		return true
	}
	for id, report := range o.Reports {
		server, exists := view.Server(id)
		if exists && (!report.Silent.IsZero() || server.Phase != state.PhaseLive) {
			return true
		}
	}
	return false
}

func (d *duty) joined(view *state.View) bool {
	node, exists := view.Node(d.module.identity.Node)
	return exists && node.Boot == d.module.identity.Boot
}

func (d *duty) join() []submit.Submission {
	id := d.module.identity
	body := &bspb.JoinNode{
		Node: string(id.Node), Boot: string(id.Boot), Zone: string(id.Zone), Region: string(id.Region),
		PeerAddress: d.module.address(),
	}
	return []submit.Submission{{
		Record: &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: body}},
		Done:   d.onOutcome(func() { eventJoined.Log(d.logger, "address", body.PeerAddress) }),
	}}
}
