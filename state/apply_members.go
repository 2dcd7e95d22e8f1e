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
	s.pruneLostIncarnations()
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
	s.pruneLostIncarnations()
	return nil
}

// applyConfirmLoss marks servers and incarnations of nodes as lost. A node name
// without a boot refers to all known incarnations of the node.
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
		for _, lost := range s.matchIncarnations(name) {
			s.lostIncarnations.set(lost, true)
			marked = true
		}
	}
	if !marked {
		return &Conflict{Reason: ReasonNothingNamed}
	}
	return nil
}

// matchIncarnations returns the known incarnations to which a node name,
// with or without a boot, refers.
func (s *State) matchIncarnations(name string) []incarnation {
	node, boot, single := record.ParseWriter(name)
	if !single {
		return s.incarnationsOf(topo.NodeID(name))
	}
	named := incarnation{node: node, boot: boot}
	if slices.Contains(s.incarnationsOf(node), named) {
		return []incarnation{named}
	}
	return nil
}

// incarnationsOf returns the node's current incarnation and its
// incarnations that groups name as lessor or standby lessor.
func (s *State) incarnationsOf(id topo.NodeID) []incarnation {
	var incarnations []incarnation
	if node, exists := s.nodes.get(id); exists {
		incarnations = append(incarnations, incarnation{node: id, boot: node.Boot})
	}
	for _, group := range s.groups.entries {
		if group.Lessor == id {
			incarnations = append(incarnations, incarnation{node: id, boot: group.LessorBoot})
		}
		if group.Standby == id {
			incarnations = append(incarnations, incarnation{node: id, boot: group.StandbyBoot})
		}
	}
	return incarnations
}

// pruneLostIncarnations removes the lost marks of incarnations that are
// neither current nor named by a group.
func (s *State) pruneLostIncarnations() {
	for lost := range s.lostIncarnations.entries {
		if node, exists := s.nodes.get(lost.node); exists && node.Boot == lost.boot {
			continue
		}
		if !s.isInGroup(lost) {
			s.lostIncarnations.remove(lost)
		}
	}
}

// isInGroup reports whether a group names an incarnation as lessor or standby
// lessor.
func (s *State) isInGroup(r incarnation) bool {
	for _, group := range s.groups.entries {
		if r == (incarnation{node: group.Lessor, boot: group.LessorBoot}) {
			return true
		}
		if r == (incarnation{node: group.Standby, boot: group.StandbyBoot}) {
			return true
		}
	}
	return false
}
