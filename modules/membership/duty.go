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

// answersSize bounds the Status results that wait for the duty; the watcher
// waits when it is full.
const answersSize = 64

// duty is the one goroutine that owns what this node knows of others and
// decides.
type duty struct {
	module  *Module
	logger  hclog.Logger
	answers *ring.Ring[nodeAnswer]
	lists   *ring.Ring[vmList]
	// targets is the []topo.NodeID that the watcher calls; wantsList whether
	// the reader reads.
	targets   atomic.Value
	wantsList atomic.Bool

	live   *core.Liveness
	roster *core.Roster
	// circleOf is the view of which circle is; one is made for each set of nodes.
	circleOf *state.View
	circle   core.NodeRing
	held     map[core.Role]bool
}

func newDuty(m *Module) *duty {
	d := &duty{
		module:  m,
		logger:  m.logger,
		answers: ring.New[nodeAnswer]("membership-answers", answersSize, ring.Wait),
		lists:   ring.New[vmList]("membership-lists", 1, ring.Wait),
		live:    core.NewLiveness(),
		roster:  core.NewRoster(),
		held:    map[core.Role]bool{},
	}
	d.targets.Store([]topo.NodeID(nil))
	return d
}

// run ends with ctx.
func (d *duty) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		changed := d.module.source.Changed()
		d.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		case <-d.module.words.Changed():
		case <-d.module.writer.Finished():
		case answer := <-d.answers.Items():
			d.take(answer)
		case list := <-d.lists.Items():
			d.roster.Update(list.vms, list.asked)
		}
	}
}

func (d *duty) take(a nodeAnswer) {
	now := time.Now()
	wasSilent := d.live.Unresponsive(a.node, now)
	if a.failed {
		d.live.Failed(a.node, a.began)
	} else {
		d.live.Answered(a.node, a.answer, now)
	}
	switch isSilent := d.live.Unresponsive(a.node, now); {
	case isSilent && !wasSilent:
		eventNodeSilent.Log(d.logger, "peer", a.node)
	case wasSilent && !isSilent:
		eventNodeBack.Log(d.logger, "peer", a.node)
	}
}

// step looks at everything known now, and offers what follows from it.
func (d *duty) step(ctx context.Context, now time.Time) {
	view := d.module.source.View()
	d.publish(view, now)
	if d.module.draining.Load() {
		d.wantsList.Store(false)
		return
	}
	d.noteRoles()
	observed := d.observe(view, now)
	d.wantsList.Store(observed.Holder || d.concerned(view, observed))
	if !d.joined(view) {
		d.offer(ctx, d.join())
		return
	}
	d.offer(ctx, append(d.serverRecords(view, observed), d.nodeRecords(view, observed)...))
}

func (d *duty) offer(ctx context.Context, batch []submit.Submission) {
	if len(batch) > 0 && !d.module.writer.Offer(ctx, batch) {
		metricPutOff.Add(1)
	}
}

// publish renews what other goroutines see, and whom the watcher calls.
func (d *duty) publish(view *state.View, now time.Time) {
	if view != d.circleOf {
		d.circleOf = view
		d.circle = core.NewNodeRing(view.Nodes())
	}
	self := d.module.identity.Node
	silent := func(id topo.NodeID) bool { return d.live.Unresponsive(id, now) }
	watched := d.circle.Watched(self, silent)
	for _, id := range core.OtherWatchers(d.circle, d.live, self, now) {
		if !slices.Contains(watched, id) {
			watched = append(watched, id)
		}
	}
	d.live.Keep(watched)
	d.targets.Store(watched)
	known := &picture{circle: d.circle, silent: d.live.AllUnresponsive(now)}
	for _, id := range watched {
		if d.live.Unable(id, now) {
			known.unable = append(known.unable, id)
		}
	}
	d.module.published.Store(known)
}

func (d *duty) noteRoles() {
	for _, role := range []core.Role{core.RoleServers, core.RolePlanner} {
		holds := d.module.Holds(role)
		switch {
		case holds && !d.held[role]:
			eventRoleTaken.Log(d.logger, "role", role)
		case !holds && d.held[role]:
			eventRoleGiven.Log(d.logger, "role", role)
		}
		d.held[role] = holds
	}
}

func (d *duty) observe(view *state.View, now time.Time) *core.Observed {
	d.forgetOthers(view)
	d.roster.ObserveState(view, now)
	return &core.Observed{
		Now:     now,
		Self:    d.module.identity.Node,
		Holder:  d.held[core.RoleServers],
		Roster:  d.roster,
		Reports: d.module.words.All(),
		Unable:  d.module.Unable,
	}
}

// forgetOthers drops the words of servers that this node is not the lessor of.
func (d *duty) forgetOthers(view *state.View) {
	for id := range d.module.words.All() {
		server, exists := view.Server(id)
		group, _ := view.Group(server.Group)
		if !exists || group.Lessor != d.module.identity.Node {
			d.module.words.Forget(id)
		}
	}
}

// concerned reports whether the list matters to this node although it does not
// hold the role: a node that it watches is silent, or a server of its own is
// silent or drains.
func (d *duty) concerned(view *state.View, o *core.Observed) bool {
	if len(d.live.AllUnresponsive(o.Now)) > 0 {
		return true
	}
	for id, word := range o.Reports {
		server, exists := view.Server(id)
		if exists && (!word.Silent.IsZero() || server.Phase != state.PhaseLive) {
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
		Done:   d.settled(func() { eventJoined.Log(d.logger, "address", body.PeerAddress) }),
	}}
}
