package state

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func (s *State) applyJoinNode(body *bspb.JoinNode) *Conflict {
	if body.GetNode() == "" || body.GetBoot() == "" {
		return &Conflict{Reason: ReasonMalformed, Subject: "node or boot missing"}
	}
	node := Node{
		ID:          topo.NodeID(body.GetNode()),
		Boot:        topo.BootID(body.GetBoot()),
		Zone:        topo.Zone(body.GetZone()),
		Region:      topo.Region(body.GetRegion()),
		PeerAddress: body.GetPeerAddress(),
	}
	s.nodes.set(node.ID, node)
	s.pruneLostRuns()
	return nil
}

func (s *State) applyRemoveNode(body *bspb.RemoveNode) *Conflict {
	id := topo.NodeID(body.GetNode())
	node, exists := s.nodes.get(id)
	if !exists || node.Boot != topo.BootID(body.GetBoot()) {
		return &Conflict{
			Reason:   ReasonBoot,
			Subject:  body.GetNode(),
			Expected: body.GetBoot(),
			InForce:  string(node.Boot),
		}
	}
	s.nodes.remove(id)
	s.pruneLostRuns()
	return nil
}

// applyConfirmLoss marks servers, and runs of nodes, as lost. A name without a
// boot means the runs of the node that are known.
func (s *State) applyConfirmLoss(body *bspb.ConfirmLoss) *Conflict {
	marked := false
	for _, name := range body.GetServers() {
		id := topo.ServerID(name)
		if _, exists := s.servers.get(id); exists && s.checkBasis(id, topo.Offset(body.GetBasis())) == nil {
			s.lostServers.set(id, true)
			marked = true
		}
	}
	for _, name := range body.GetNodes() {
		for _, lost := range s.runsNamed(name) {
			s.lostRuns.set(lost, true)
			marked = true
		}
	}
	if !marked {
		return &Conflict{Reason: ReasonNothingNamed}
	}
	return nil
}

// runsNamed returns the known runs that a name, with or without a boot, means.
func (s *State) runsNamed(name string) []run {
	node, boot, single := record.ParseWriter(name)
	if !single {
		return s.runsOf(topo.NodeID(name))
	}
	named := run{node: node, boot: boot}
	if slices.Contains(s.runsOf(node), named) {
		return []run{named}
	}
	return nil
}

// runsOf returns the node's current run and the runs of it that groups name.
func (s *State) runsOf(id topo.NodeID) []run {
	var runs []run
	if node, exists := s.nodes.get(id); exists {
		runs = append(runs, run{node: id, boot: node.Boot})
	}
	for _, group := range s.groups.entries {
		if group.Lessor == id {
			runs = append(runs, run{node: id, boot: group.LessorBoot})
		}
		if group.Standby == id {
			runs = append(runs, run{node: id, boot: group.StandbyBoot})
		}
	}
	return runs
}

// pruneLostRuns forgets the marks of runs that neither are current nor named
// by a group.
func (s *State) pruneLostRuns() {
	for lost := range s.lostRuns.entries {
		if node, exists := s.nodes.get(lost.node); exists && node.Boot == lost.boot {
			continue
		}
		if !s.groupNames(lost) {
			s.lostRuns.remove(lost)
		}
	}
}

func (s *State) groupNames(r run) bool {
	for _, group := range s.groups.entries {
		if r == (run{node: group.Lessor, boot: group.LessorBoot}) {
			return true
		}
		if r == (run{node: group.Standby, boot: group.StandbyBoot}) {
			return true
		}
	}
	return false
}
