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

// Times after which a server is treated otherwise.
const (
	// SilentServerAfter is how long a server may leave its lessor without an
	// answer before it gets nothing new.
	SilentServerAfter = 2 * time.Second
	// AbsentServerAfter is how long a server that nobody hears may be missing
	// from the list before it gets nothing new.
	AbsentServerAfter = 10 * time.Second
	// RemoveServerAfter is how long it may be missing or gone before it is
	// removed, once no shard names it.
	RemoveServerAfter = time.Minute
)

// Observed is what one node knows beside the log's state.
type Observed struct {
	Now    time.Time
	Self   topo.NodeID
	Holder bool // this node holds RoleServers
	Roster *Roster
	Words  map[topo.ServerID]Word
	// Unable reports whether a node is silent or draining.
	Unable func(topo.NodeID) bool
}

// current returns what is observed without a list that is too old to count.
func (o *Observed) current() *Observed {
	now := *o
	now.Roster = o.Roster.Current(o.Now)
	return &now
}

// ServerChanges is what should be written to the log about servers.
type ServerChanges struct {
	Upsert []*bspb.ServerEntry
	Remove []string
	Lost   []string // confirmed to be lost; only if the site trusts the list
}

// Empty reports whether there is nothing to write.
func (c *ServerChanges) Empty() bool {
	return len(c.Upsert) == 0 && len(c.Remove) == 0 && len(c.Lost) == 0
}

// DecideServers compares the list and the servers' words with the state. A
// server's lessor decides for it, since it alone hears the server; the holder
// of the role adds what is new, drains what is leaving, and decides for servers
// whose lessor is missing.
func DecideServers(view *state.View, o *Observed) ServerChanges {
	var changes ServerChanges
	o = o.current()
	if o.Holder {
		addNew(view, o, &changes)
	}
	named := newNamed(view)
	for _, server := range view.Servers() {
		if says := o.authority(view, server); says != authorityNone {
			decideServer(view, o, server, says, named, &changes)
		}
	}
	slices.SortFunc(changes.Upsert, func(a, b *bspb.ServerEntry) int { return strings.Compare(a.Id, b.Id) })
	slices.Sort(changes.Remove)
	slices.Sort(changes.Lost)
	return changes
}

// authority says how far this node decides for a server.
type authority int

const (
	authorityNone   authority = iota
	authorityDrain            // may only make it get nothing new
	authorityOrphan           // decides without the server's word: its lessor is missing
	authorityLessor           // decides with the server's word
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

// addNew adds live servers that the state does not have.
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
func decideServer(view *state.View, o *Observed, server state.Server, says authority, named *named, changes *ServerChanges) {
	f := o.facts(server, says)
	if f.removable() && !named.has(server.ID) {
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
	if server.Phase == state.PhaseGone && next.Phase != state.PhaseGone && named.has(server.ID) {
		return // shards still name the run that was confirmed to be gone
	}
	if f.listed && says != authorityDrain {
		next.Address = f.row.Address
		next.Group = f.group(server, groupsPerZone(view), named)
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

// named tells which servers shards name; it is computed when first asked for.
type named struct {
	view    *state.View
	servers map[topo.ServerID]bool
}

func newNamed(view *state.View) *named { return &named{view: view} }

func (n *named) has(id topo.ServerID) bool {
	if n.servers == nil {
		n.servers = map[topo.ServerID]bool{}
		for _, service := range n.view.Tables() {
			n.view.EachShard(service, func(a state.Assignment) bool {
				n.servers[a.Owner] = true
				n.servers[a.Standby] = true
				return true
			})
		}
	}
	return n.servers[id]
}
