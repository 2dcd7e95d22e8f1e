package membership

import (
	"slices"

	core "github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/topo"
)

// picture is what the duty last knew of the other nodes. It is replaced, never
// changed.
type picture struct {
	circle core.NodeRing
	silent []topo.NodeID
	unable []topo.NodeID
}

var _ core.Roles = (*Module)(nil)

// Holds implements membership.Roles.
func (m *Module) Holds(role core.Role) bool {
	if m.draining.Load() {
		return false
	}
	known := m.published.Load()
	return known.circle.Holder(role, known.isUnable) == m.identity.Node
}

// Candidates implements membership.Roles.
func (m *Module) Candidates(role core.Role) []topo.NodeID {
	known := m.published.Load()
	return slices.DeleteFunc(known.circle.Candidates(role), known.isUnable)
}

// Unable implements membership.Roles.
func (m *Module) Unable(id topo.NodeID) bool { return m.published.Load().isUnable(id) }

func (p *picture) isUnable(id topo.NodeID) bool { return slices.Contains(p.unable, id) }

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	known := m.published.Load()
	d := dump{
		Draining: m.draining.Load(),
		Nodes:    known.circle.Len(),
		Silent:   known.silent,
		Unable:   known.unable,
		Holds:    map[core.Role]bool{},
		Words:    m.words.All(),
	}
	for _, role := range []core.Role{core.RoleServers, core.RolePlanner} {
		d.Holds[role] = m.Holds(role)
	}
	if m.duty != nil {
		d.Watching = m.duty.targets.Load().([]topo.NodeID)
		d.ReadsList = m.duty.wantsList.Load()
	}
	return d
}

type dump struct {
	Draining  bool                                `json:"draining"`
	Nodes     int                                 `json:"nodes"`
	Watching  []topo.NodeID                       `json:"watching"`
	Silent    []topo.NodeID                       `json:"silent"`
	Unable    []topo.NodeID                       `json:"unable"`
	Holds     map[core.Role]bool                  `json:"holds"`
	ReadsList bool                                `json:"readsList"`
	Words     map[topo.ServerID]core.ServerReport `json:"words"`
}
