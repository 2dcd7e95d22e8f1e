package state

import (
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func (s *State) applyUpdateServers(offset topo.Offset, body *bspb.UpdateServers) *Conflict {
	for _, entry := range body.GetUpsert() {
		if entry.GetId() == "" || !validPhase(entry.GetPhase()) {
			return &Conflict{Reason: ReasonMalformed, Subject: "server " + entry.GetId()}
		}
	}
	basis := topo.Offset(body.GetBasis())
	var stale *Conflict
	accepted := false
	for _, entry := range body.GetUpsert() {
		server := serverFromProto(entry)
		if stale = s.checkBasis(server.ID, basis); stale == nil {
			s.upsertServer(server, offset)
			accepted = true
		}
	}
	for _, name := range body.GetRemove() {
		id := topo.ServerID(name)
		if stale = s.checkBasis(id, basis); stale == nil {
			s.removeServer(id, offset)
			accepted = true
		}
	}
	if accepted {
		return nil
	}
	return stale
}

// checkBasis returns a conflict when a server was changed after the offset of
// the state on which the writer based its decision.
func (s *State) checkBasis(id topo.ServerID, basis topo.Offset) *Conflict {
	known, exists := s.serverRecords[id]
	if basis == 0 || !exists || known.changed <= basis {
		return nil
	}
	return &Conflict{
		Reason:   ReasonChanged,
		Subject:  string(id),
		Expected: offsetText(basis),
		InForce:  offsetText(known.changed),
	}
}

func validPhase(phase bspb.ServerPhase) bool {
	return phase >= bspb.ServerPhase_SERVER_PHASE_LIVE && phase <= bspb.ServerPhase_SERVER_PHASE_GONE
}

// upsertServer inserts or replaces a server. While shards name it, its
// service, zone and group do not change, because leases are renewed by group.
// The lost mark is removed when no shard names the server.
func (s *State) upsertServer(server Server, offset topo.Offset) {
	known, exists := s.serverRecords[server.ID]
	if !exists {
		known = &serverRecord{}
		s.serverRecords[server.ID] = known
	}
	if known.references > 0 {
		server.Service = known.server.Service
		server.Zone = known.server.Zone
		server.Group = known.server.Group
	} else {
		s.lostServers.remove(server.ID)
	}
	known.server = server
	known.removed = false
	known.changed = offset
	s.servers.set(server.ID, server)
}

// removeServer removes a server, or sets it to PhaseGone while shards name
// it.
func (s *State) removeServer(id topo.ServerID, offset topo.Offset) {
	known, exists := s.serverRecords[id]
	if !exists {
		return
	}
	known.removed = true
	known.changed = offset
	if known.references == 0 {
		s.dropServer(id)
		return
	}
	known.server.Phase = PhaseGone
	s.servers.set(id, known.server)
}

func (s *State) dropServer(id topo.ServerID) {
	delete(s.serverRecords, id)
	s.servers.remove(id)
	s.lostServers.remove(id)
}

// addReference counts an assignment that names a server; the empty name is
// ignored.
func (s *State) addReference(id topo.ServerID) {
	if known, exists := s.serverRecords[id]; exists {
		known.references++
	}
}

// removeReference undoes addReference and drops a removed server that no assignment
// names any longer.
func (s *State) removeReference(id topo.ServerID) {
	known, exists := s.serverRecords[id]
	if !exists {
		return
	}
	known.references--
	if known.references == 0 && known.removed {
		s.dropServer(id)
	}
}

func serverFromProto(entry *bspb.ServerEntry) Server {
	return Server{
		ID:      topo.ServerID(entry.GetId()),
		Service: topo.Service(entry.GetService()),
		Zone:    topo.Zone(entry.GetZone()),
		Address: entry.GetAddress(),
		Group:   topo.GroupID(entry.GetGroup()),
		Phase:   Phase(entry.GetPhase()),
	}
}

func serverToProto(server Server) *bspb.ServerEntry {
	return &bspb.ServerEntry{
		Id:      string(server.ID),
		Service: string(server.Service),
		Zone:    string(server.Zone),
		Address: server.Address,
		Group:   string(server.Group),
		Phase:   bspb.ServerPhase(server.Phase),
	}
}
