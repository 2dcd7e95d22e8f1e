package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Times after which a server is drained or removed.
const (
	// UnresponsiveServerAfter is how long a server may be unresponsive to its lessor
	// before it gets no new shards.
	UnresponsiveServerAfter = 2 * time.Second
	// AbsentServerAfter is how long a server that does not respond may be missing
	// from the list before it gets no new shards.
	AbsentServerAfter = 10 * time.Second
	// RemoveServerAfter is how long a server that does not respond may be missing
	// from the list before it is removed, once no shard refers to it.
	RemoveServerAfter = time.Minute
)

// Observed is what one node knows in addition to the state of the log.
type Observed struct {
	Now     time.Time
	Self    topo.NodeID
	Holder  bool // this node holds RoleServers
	Roster  *Roster
	Reports map[topo.ServerID]ServerReport
	// Unable reports whether a node is unresponsive or draining.
	Unable func(topo.NodeID) bool
}

// current returns a copy without a list that is older than MaxListAge.
func (o *Observed) current() *Observed {
	now := *o
	now.Roster = o.Roster.Current(o.Now)
	return &now
}

// ServerChanges are the changes to servers that should be written to the log.
type ServerChanges struct {
	Upsert []*bspb.ServerEntry
	Remove []string
	Lost   []string // confirmed to be lost; empty unless the site trusts the list
}

// Empty reports whether there are no changes.
func (c *ServerChanges) Empty() bool {
	return len(c.Upsert) == 0 && len(c.Remove) == 0 && len(c.Lost) == 0
}

// DecideServers compares the VM list and the servers' reports with the state. The
// lessor of a server decides about it, because only the lessor receives its reports.
// The holder of RoleServers adds new servers, drains servers that are leaving, and
// decides about servers whose lessor is missing.
func DecideServers(view *state.View, o *Observed) ServerChanges {
	var changes ServerChanges
	o = o.current()
	if o.Holder {
		addNew(view, o, &changes)
	}
	inUse := newServersInUse(view)
	for _, server := range view.Servers() {
		if level := o.authority(view, server); level != authorityNone {
			decideServer(view, o, server, level, inUse, &changes)
		}
	}
	slices.SortFunc(changes.Upsert, func(a, b *bspb.ServerEntry) int { return strings.Compare(a.Id, b.Id) })
	slices.Sort(changes.Remove)
	slices.Sort(changes.Lost)
	return changes
}

// authority is the extent to which this node decides about a server.
type authority int

const (
	authorityNone   authority = iota
	authorityDrain            // may only drain it
	authorityOrphan           // decides without the server's reports, because its lessor is missing
	authorityLessor           // decides with the server's reports
)

func (o *Observed) authority(view *state.View, server state.Server) authority {
	group, exists := view.Group(server.Group)
	if exists && group.Lessor == o.Self {
		return authorityLessor
	}
	if !o.Holder {
		return authorityNone
	}
	_, joined := view.Node(group.Lessor)
	if !exists || !joined || o.Unable(group.Lessor) {
		return authorityOrphan
	}
	return authorityDrain
}

// addNew adds live servers that are not in the state.
func addNew(view *state.View, o *Observed, changes *ServerChanges) {
	for _, vm := range o.Roster.rows {
		if vm.Role != vmlist.RoleServer || vm.Phase != vmlist.PhaseLive {
			continue
		}
		if _, known := view.Server(topo.ServerID(vm.ID)); !known {
			changes.Upsert = append(changes.Upsert, newEntry(vm, groupsPerZone(view)))
		}
	}
}

func newEntry(vm vmlist.VM, groups int) *bspb.ServerEntry {
	return &bspb.ServerEntry{
		Id:      vm.ID,
		Service: string(vm.Service),
		Zone:    string(vm.Zone),
		Address: vm.Address,
		Group:   string(AssignGroup(vm.Zone, topo.ServerID(vm.ID), groups)),
		Phase:   bspb.ServerPhase_SERVER_PHASE_LIVE,
	}
}

func groupsPerZone(view *state.View) int {
	if site := view.Site(); site != nil && site.GroupsPerZone > 0 {
		return site.GroupsPerZone
	}
	return 1
}

func trustsList(view *state.View) bool {
	site := view.Site()
	return site != nil && site.TrustVMList
}

// decideServer adds the changes to one server that is in the state.
func decideServer(view *state.View, o *Observed, server state.Server, level authority, inUse *serversInUse, changes *ServerChanges) {
	f := o.facts(server, level)
	if f.removable() && !inUse.has(server.ID) {
		changes.Remove = append(changes.Remove, string(server.ID))
		return
	}
	if f.confirmedGone() && trustsList(view) {
		if !view.ServerLost(server.ID) {
			changes.Lost = append(changes.Lost, string(server.ID))
		}
		if server.Phase != state.PhaseGone {
			changes.Upsert = append(changes.Upsert, entryOf(server, state.PhaseGone))
		}
		return
	}
	next := server
	next.Phase = f.phase(server.Phase)
	if server.Phase == state.PhaseGone && next.Phase != state.PhaseGone && inUse.has(server.ID) {
		return // shards still refer to the incarnation that was confirmed to be gone
	}
	if f.listed && level != authorityDrain {
		next.Address = f.row.Address
		next.Group = f.group(server, groupsPerZone(view), inUse)
	}
	if next != server {
		changes.Upsert = append(changes.Upsert, entryOf(next, next.Phase))
	}
}

func entryOf(server state.Server, phase state.Phase) *bspb.ServerEntry {
	return &bspb.ServerEntry{
		Id:      string(server.ID),
		Service: string(server.Service),
		Zone:    string(server.Zone),
		Address: server.Address,
		Group:   string(server.Group),
		Phase:   bspb.ServerPhase(phase),
	}
}

// serversInUse is the set of servers that shards refer to. It is computed on first use.
type serversInUse struct {
	view    *state.View
	servers map[topo.ServerID]bool
}

func newServersInUse(view *state.View) *serversInUse { return &serversInUse{view: view} }

func (s *serversInUse) has(id topo.ServerID) bool {
	if s.servers == nil {
		s.servers = map[topo.ServerID]bool{}
		for _, service := range s.view.Tables() {
			s.view.EachShard(service, func(a state.Assignment) bool {
				s.servers[a.Owner] = true
				s.servers[a.Standby] = true
				return true
			})
		}
	}
	return s.servers[id]
}
