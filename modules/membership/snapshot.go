package membership

import (
	"slices"

	core "github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/topo"
)

// snapshot is the duty's latest knowledge of the other nodes. It is immutable.
type snapshot struct {
	ring         core.NodeRing
	unresponsive []topo.NodeID
	unable       []topo.NodeID
}

var _ core.Roles = (*Module)(nil)

// Holds implements membership.Roles.
func (m *Module) Holds(role core.Role) bool {
	if m.draining.Load() {
		return false
	}
	latest := m.published.Load()
	return latest.ring.Holder(role, latest.isUnable) == m.identity.Node
}

// Candidates implements membership.Roles.
func (m *Module) Candidates(role core.Role) []topo.NodeID {
	latest := m.published.Load()
	return slices.DeleteFunc(latest.ring.Candidates(role), latest.isUnable)
}

// Unable implements membership.Roles.
func (m *Module) Unable(id topo.NodeID) bool { return m.published.Load().isUnable(id) }

func (s *snapshot) isUnable(id topo.NodeID) bool { return slices.Contains(s.unable, id) }

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	latest := m.published.Load()
	d := dump{
		Draining:     m.draining.Load(),
		Nodes:        latest.ring.Len(),
		Unresponsive: latest.unresponsive,
		Unable:       latest.unable,
		Holds:        map[core.Role]bool{},
		Reports:      m.reports.All(),
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
	Draining     bool                                `json:"draining"`
	Nodes        int                                 `json:"nodes"`
	Watching     []topo.NodeID                       `json:"watching"`
	Unresponsive []topo.NodeID                       `json:"silent"`
	Unable       []topo.NodeID                       `json:"unable"`
	Holds        map[core.Role]bool                  `json:"holds"`
	ReadsList    bool                                `json:"readsList"`
	Reports      map[topo.ServerID]core.ServerReport `json:"words"`
}
