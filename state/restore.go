package state

import (
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// maxRestoredShards limits the shards of one service, as protection against a
// corrupt count.
const maxRestoredShards = 1 << 24

// Restore returns the state of a snapshot. It fails with a *SnapshotError.
func Restore(snapshot *bspb.Snapshot) (*State, error) {
	if format := snapshot.GetFormat(); format == 0 || format > SnapshotFormat {
		return nil, &SnapshotError{Problem: "unknown format"}
	}
	s := New()
	s.applied = topo.Offset(snapshot.GetApplied())
	s.lineage = topo.Offset(snapshot.GetLineage())
	steps := []func(*bspb.Snapshot) error{
		s.restoreSite, s.restoreTables, s.restoreMembers, s.restoreShards, s.restoreLost,
	}
	for _, step := range steps {
		if err := step(snapshot); err != nil {
			return nil, err
		}
	}
	for _, entry := range snapshot.GetWriters() {
		s.writers.record(entry.GetWriter(), entry.GetSequence())
	}
	return s, nil
}

func (s *State) restoreSite(snapshot *bspb.Snapshot) error {
	s.siteVersion = snapshot.GetSiteVersion()
	s.siteText = snapshot.GetSiteText()
	if snapshot.GetSite() != nil {
		site, err := siteconfig.FromProto(snapshot.GetSite())
		if err != nil {
			return &SnapshotError{Problem: "site configuration", Cause: err}
		}
		s.site = site
	}
	for _, encoded := range snapshot.GetRetiring() {
		service, err := siteconfig.ServiceFromProto(encoded)
		if err != nil {
			return &SnapshotError{Problem: "retiring service", Cause: err}
		}
		s.retiring.set(service.Name, service)
	}
	for _, past := range snapshot.GetDisconnectedLimits() {
		name := topo.Service(past.GetService())
		s.limits.set(name, append(s.limits.entries[name], pastLimit{
			until: topo.Offset(past.GetUntil()),
			limit: siteconfig.MillisToDuration(past.GetLimitMs()),
		}))
	}
	return nil
}

// restoreTables creates empty tables of the size that the listed hash ranges
// need.
func (s *State) restoreTables(snapshot *bspb.Snapshot) error {
	counts := map[topo.Service]uint32{}
	for _, entry := range snapshot.GetShards() {
		id := shardFromProto(entry.GetShard())
		if id.Key != "" {
			continue
		}
		if id.Index != counts[id.Service] || id.Index >= maxRestoredShards {
			return &SnapshotError{Problem: "hash range out of order: " + id.String()}
		}
		counts[id.Service]++
	}
	for name, count := range counts {
		s.tables.set(name, newShardTable(name, count))
	}
	return nil
}

func (s *State) restoreMembers(snapshot *bspb.Snapshot) error {
	for _, node := range snapshot.GetNodes() {
		if conflict := s.applyJoinNode(node); conflict != nil {
			return &SnapshotError{Problem: "node", Cause: conflict}
		}
	}
	for _, entry := range snapshot.GetServers() {
		if entry.GetId() == "" || !validPhase(entry.GetPhase()) {
			return &SnapshotError{Problem: "server " + entry.GetId()}
		}
		s.upsertServer(serverFromProto(entry), topo.Offset(entry.GetChanged()))
		s.serverRecords[topo.ServerID(entry.GetId())].removed = entry.GetRemoved()
	}
	for _, entry := range snapshot.GetGroups() {
		group := groupFromProto(entry)
		s.groups.set(group.ID, group)
	}
	return nil
}

func (s *State) restoreShards(snapshot *bspb.Snapshot) error {
	for _, entry := range snapshot.GetShards() {
		a := Assignment{
			Shard:     shardFromProto(entry.GetShard()),
			Fence:     fenceFromProto(entry.GetFence()),
			Owner:     topo.ServerID(entry.GetOwner()),
			OwnerBoot: topo.BootID(entry.GetOwnerBoot()),
			Standby:   topo.ServerID(entry.GetStandby()),
		}
		table, exists := s.tables.get(a.Shard.Service)
		if !exists || a.Shard.Index >= table.count {
			return &SnapshotError{Problem: "shard without a table: " + a.Shard.String()}
		}
		if !s.isKnownServer(a.Owner) || !s.isKnownServer(a.Standby) {
			return &SnapshotError{Problem: "shard of an unknown server: " + a.Shard.String()}
		}
		s.addReference(a.Owner)
		s.addReference(a.Standby)
		s.edit(a.Shard.Service).set(a)
	}
	return nil
}

// isKnownServer reports whether a server exists or the name is empty.
func (s *State) isKnownServer(id topo.ServerID) bool {
	_, exists := s.serverRecords[id]
	return exists || id == ""
}

func (s *State) restoreLost(snapshot *bspb.Snapshot) error {
	for _, id := range snapshot.GetLostServers() {
		s.lostServers.set(topo.ServerID(id), true)
	}
	for _, name := range snapshot.GetLostNodes() {
		node, boot, valid := record.ParseWriter(name)
		if !valid {
			return &SnapshotError{Problem: "lost node " + name}
		}
		s.lostIncarnations.set(incarnation{node: node, boot: boot}, true)
	}
	return nil
}
