package lessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// GroupsOf returns the groups that a view knows: those claimed, those that
// servers belong to, and the configured number for each zone that has nodes.
func GroupsOf(view *state.View) []topo.GroupID {
	set := map[topo.GroupID]bool{}
	for id := range view.Groups() {
		set[id] = true
	}
	for _, server := range view.Servers() {
		if server.Group != "" {
			set[server.Group] = true
		}
	}
	if site := view.Site(); site != nil {
		for zone := range zonesOf(view) {
			for i := range site.GroupsPerZone {
				set[topo.MakeGroupID(zone, i)] = true
			}
		}
	}
	groups := make([]topo.GroupID, 0, len(set))
	for id := range set {
		groups = append(groups, id)
	}
	slices.Sort(groups)
	return groups
}

func zonesOf(view *state.View) map[topo.Zone]bool {
	zones := map[topo.Zone]bool{}
	for _, node := range view.Nodes() {
		zones[node.Zone] = true
	}
	return zones
}

// NodesOf returns the nodes of a view that are not lost, in order. If the list
// equals other, the result for another view, it returns other, so that callers
// can reuse values derived from it.
func NodesOf(view *state.View, other []state.Node) []state.Node {
	nodes := make([]state.Node, 0, len(view.Nodes()))
	for _, node := range view.Nodes() {
		if !view.NodeLost(node.ID) && !zoneLost(view, node.Zone) {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b state.Node) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(nodes, other) {
		return other
	}
	return nodes
}

// sameList reports whether two slices are identical, not only equal.
func sameList(a, b []state.Node) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// FactsOf derives the facts of one group from a view and the view's NodesOf.
// Without detail, it omits what only lessors and standby lessors need.
func FactsOf(view *state.View, nodes []state.Node, id topo.GroupID, detail bool) *Facts {
	facts := basicFacts(view, id)
	facts.Applied, facts.Nodes = view.Applied(), nodes
	if detail {
		projectServers(view, &facts)
		projectShards(view, &facts)
	}
	return &facts
}

// Current reports whether the facts of a newer view and its NodesOf would
// differ in nothing but the offset, for a node that is neither lessor nor
// standby lessor.
func (f *Facts) Current(view *state.View, nodes []state.Node) bool {
	group, _ := view.Group(f.Group.ID)
	group.ID = f.Group.ID
	return sameList(f.Nodes, nodes) && group == f.Group &&
		f.LessorGone == incarnationEnded(view, group.Lessor, group.LessorBoot) &&
		f.StandbyGone == incarnationEnded(view, group.Standby, group.StandbyBoot)
}

// basicFacts returns the part of the facts that every node needs.
func basicFacts(view *state.View, id topo.GroupID) Facts {
	group, _ := view.Group(id)
	group.ID = id
	return Facts{
		Group:       group,
		LessorGone:  incarnationEnded(view, group.Lessor, group.LessorBoot),
		StandbyGone: incarnationEnded(view, group.Standby, group.StandbyBoot),
		Servers:     map[topo.ServerID]Server{},
		Shards:      map[topo.ShardID]Shard{},
		ShardsOf:    map[topo.ServerID][]topo.ShardID{},
		StandbyOf:   map[topo.ServerID][]Grant{},
		Targets:     map[topo.Service][]Target{},
	}
}

// incarnationEnded reports whether an incarnation of a node was replaced, removed or
// lost.
func incarnationEnded(view *state.View, id topo.NodeID, boot topo.BootID) bool {
	if id == "" {
		return false
	}
	node, exists := view.Node(id)
	if !exists || node.Boot != boot || view.IncarnationLost(id, boot) {
		return true
	}
	return zoneLost(view, node.Zone)
}

func zoneLost(view *state.View, zone topo.Zone) bool {
	site := view.Site()
	return site != nil && site.LostZones[zone]
}

func serverLost(view *state.View, server state.Server) bool {
	return server.Phase == state.PhaseGone || view.ServerLost(server.ID) || zoneLost(view, server.Zone)
}

func projectServers(view *state.View, facts *Facts) {
	for id, server := range view.Servers() {
		lost := serverLost(view, server)
		if server.Group == facts.Group.ID {
			facts.Servers[id] = Server{Server: server, Lost: lost}
			if service, exists, _ := view.ActiveService(server.Service); exists {
				facts.LongestDisconnected = longer(facts.LongestDisconnected, service.MaxDisconnected)
			}
		}
		if server.Phase == state.PhaseLive && !lost {
			target := Target{ID: id, Zone: server.Zone, Group: server.Group}
			facts.Targets[server.Service] = append(facts.Targets[server.Service], target)
		}
	}
	for _, targets := range facts.Targets {
		slices.SortFunc(targets, func(a, b Target) int { return compareIDs(a.ID, b.ID) })
	}
}

func compareIDs(a, b topo.ServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// projection collects one service's shards.
type projection struct {
	view   *state.View
	facts  *Facts
	policy *Policy
	// split lists the split keys of each hash range.
	split map[uint32][]string
}

func projectShards(view *state.View, facts *Facts) {
	services := view.Tables()
	slices.Sort(services)
	for _, service := range services {
		p := &projection{
			view:   view,
			facts:  facts,
			policy: policyOf(view, service, facts.Group.ID),
			split:  map[uint32][]string{},
		}
		for i := range facts.Targets[service] {
			target := &facts.Targets[service][i]
			target.Owned = len(view.OwnedBy(service, target.ID))
			target.StandsBy = len(view.StandbyOf(service, target.ID))
		}
		view.EachSplit(service, p.noteSplit)
		for _, keys := range p.split {
			slices.Sort(keys)
		}
		for id := range facts.Servers {
			p.addServer(service, id)
		}
	}
	for _, list := range facts.ShardsOf {
		slices.SortFunc(list, compareShards)
	}
	for _, list := range facts.StandbyOf {
		slices.SortFunc(list, func(a, b Grant) int { return compareShards(a.Shard, b.Shard) })
	}
}

func policyOf(view *state.View, name topo.Service, group topo.GroupID) *Policy {
	service, exists, retiring := view.ActiveService(name)
	if !exists {
		return &Policy{Retiring: true}
	}
	return &Policy{
		ChecksFencing:   service.ChecksFencing,
		AcceptUnfenced:  service.AcceptUnfencedTakeover,
		MaxDisconnected: service.MaxDisconnected,
		TakeoverLimit:   view.DisconnectedLimit(name, group),
		Retiring:        retiring,
	}
}

func (p *projection) noteSplit(a state.Assignment) {
	p.split[a.Shard.Index] = append(p.split[a.Shard.Index], a.Shard.Key)
}

// addServer collects the shards that name one server of the group, so that the
// cost depends on the group's own shards and not on those of the whole service.
func (p *projection) addServer(service topo.Service, id topo.ServerID) {
	for _, shard := range p.view.StandbyOf(service, id) {
		a, _ := p.view.Shard(shard)
		p.facts.StandbyOf[id] = append(p.facts.StandbyOf[id], Grant{Shard: shard, Fence: a.Fence.Standby()})
	}
	for _, shard := range p.view.OwnedBy(service, id) {
		a, _ := p.view.Shard(shard)
		p.addOwned(a)
	}
}

func (p *projection) addOwned(a state.Assignment) {
	standby, standbyHere := p.facts.Servers[a.Standby]
	shard := Shard{
		Assignment:  a,
		StandbyHere: standbyHere,
		StandbyLost: standby.Lost,
		Policy:      p.policy,
	}
	if a.Shard.Key == "" {
		shard.Except = p.split[a.Shard.Index]
	}
	p.facts.Shards[a.Shard] = shard
	p.facts.ShardsOf[a.Owner] = append(p.facts.ShardsOf[a.Owner], a.Shard)
}

func longer(a, b time.Duration) time.Duration { return siteconfig.LongerDisconnected(a, b) }
