package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// SnapshotFormat is the format of the snapshots that this release writes and
// the highest format that it reads.
const SnapshotFormat = 1

// SnapshotError reports a snapshot from which no state can be restored.
type SnapshotError struct {
	Problem string
	Cause   error // may be nil
}

// Error implements error.
func (e *SnapshotError) Error() string {
	if e.Cause == nil {
		return "snapshot: " + e.Problem
	}
	return fmt.Sprintf("snapshot: %s: %v", e.Problem, e.Cause)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Frozen is an immutable copy of a whole state, from which a snapshot can be
// encoded while records are applied to the state.
type Frozen struct {
	view    *View
	removed map[topo.ServerID]bool
	changed map[topo.ServerID]topo.Offset // offset of the record that last changed each server
	writers []writerEntry
}

// Freeze returns an immutable copy of the whole state. Its cost does not depend
// on the number of shards.
func (s *State) Freeze() Frozen {
	frozen := Frozen{
		view:    s.View(),
		removed: map[topo.ServerID]bool{},
		changed: make(map[topo.ServerID]topo.Offset, len(s.serverRecords)),
	}
	for id, known := range s.serverRecords {
		frozen.changed[id] = known.changed
		if known.removed {
			frozen.removed[id] = true
		}
	}
	s.writers.each(func(entry writerEntry) {
		frozen.writers = append(frozen.writers, entry)
	})
	return frozen
}

// Snapshot returns the whole state. Equal states give equal snapshots.
func (s *State) Snapshot() *bspb.Snapshot { return s.Freeze().Snapshot() }

// View returns the view of the frozen state.
func (f Frozen) View() *View { return f.view }

// Snapshot encodes the frozen state. Equal states give equal snapshots.
func (f Frozen) Snapshot() *bspb.Snapshot {
	view := f.view
	snapshot := &bspb.Snapshot{
		Format:      SnapshotFormat,
		Applied:     uint64(view.applied),
		Lineage:     uint64(view.lineage),
		SiteVersion: view.siteVersion,
		SiteText:    view.siteText,
	}
	if view.site != nil {
		snapshot.Site = siteconfig.ToProto(view.site)
	}
	for _, name := range sortedKeys(view.retiring) {
		snapshot.Retiring = append(snapshot.Retiring, siteconfig.ServiceToProto(view.retiring[name]))
	}
	snapshotLimits(view, snapshot)
	snapshotNodes(view, snapshot)
	snapshotServers(f, snapshot)
	snapshotShards(view, snapshot)
	for _, entry := range f.writers {
		snapshot.Writers = append(snapshot.Writers, &bspb.WriterEntry{
			Writer:   entry.writer,
			Sequence: entry.sequence,
		})
	}
	return snapshot
}

func snapshotLimits(view *View, snapshot *bspb.Snapshot) {
	for _, name := range sortedKeys(view.limits) {
		for _, past := range view.limits[name] {
			snapshot.DisconnectedLimits = append(snapshot.DisconnectedLimits, &bspb.DisconnectedLimit{
				Service: string(name),
				Until:   uint64(past.until),
				LimitMs: siteconfig.DurationToMillis(past.limit),
			})
		}
	}
}

func snapshotNodes(view *View, snapshot *bspb.Snapshot) {
	for _, id := range sortedKeys(view.nodes) {
		node := view.nodes[id]
		snapshot.Nodes = append(snapshot.Nodes, &bspb.JoinNode{
			Node:        string(node.ID),
			Boot:        string(node.Boot),
			Zone:        string(node.Zone),
			Region:      string(node.Region),
			PeerAddress: node.PeerAddress,
		})
	}
	for _, id := range sortedKeys(view.groups) {
		snapshot.Groups = append(snapshot.Groups, groupToProto(view.groups[id]))
	}
	for lost := range view.lostIncarnations {
		snapshot.LostNodes = append(snapshot.LostNodes, incarnationText(lost))
	}
	slices.Sort(snapshot.LostNodes)
}

func snapshotServers(f Frozen, snapshot *bspb.Snapshot) {
	for _, id := range sortedKeys(f.view.servers) {
		entry := serverToProto(f.view.servers[id])
		entry.Removed = f.removed[id]
		entry.Changed = uint64(f.changed[id])
		snapshot.Servers = append(snapshot.Servers, entry)
	}
	for _, id := range sortedKeys(f.view.lostServers) {
		snapshot.LostServers = append(snapshot.LostServers, string(id))
	}
}

// snapshotShards lists every hash range, owned or not, so that the table of a
// retiring service is restored with its shard count.
func snapshotShards(view *View, snapshot *bspb.Snapshot) {
	for _, name := range sortedKeys(view.tables) {
		table := view.tables[name]
		for index := range table.count {
			snapshot.Shards = append(snapshot.Shards, shardEntry(*table.at(index)))
		}
		for _, key := range sortedKeys(table.keys) {
			snapshot.Shards = append(snapshot.Shards, shardEntry(table.keys[key]))
		}
	}
}

func shardEntry(a Assignment) *bspb.ShardEntry {
	entry := &bspb.ShardEntry{
		Shard:     shardToProto(a.Shard),
		Owner:     string(a.Owner),
		OwnerBoot: string(a.OwnerBoot),
		Standby:   string(a.Standby),
	}
	if !a.Fence.IsZero() {
		entry.Fence = ordinalToProto(a.Fence.Ordinal)
	}
	return entry
}

func groupToProto(group Group) *bspb.GroupEntry {
	runs, since := previousToProto(group.Previous)
	return &bspb.GroupEntry{
		Group:       string(group.ID),
		Term:        ordinalToProto(group.Term.Ordinal),
		Lessor:      string(group.Lessor),
		LessorBoot:  string(group.LessorBoot),
		Standby:     string(group.Standby),
		StandbyBoot: string(group.StandbyBoot),
		HeldSince:   uint64(group.EarliestActiveTerm),
		FormerRuns:  runs,
		FormerSince: since,
	}
}

func groupFromProto(entry *bspb.GroupEntry) Group {
	return Group{
		ID:                 topo.GroupID(entry.GetGroup()),
		Term:               termFromProto(entry.GetTerm()),
		Lessor:             topo.NodeID(entry.GetLessor()),
		LessorBoot:         topo.BootID(entry.GetLessorBoot()),
		Standby:            topo.NodeID(entry.GetStandby()),
		StandbyBoot:        topo.BootID(entry.GetStandbyBoot()),
		EarliestActiveTerm: topo.Offset(entry.GetHeldSince()),
		Previous:           previousFromProto(entry.GetFormerRuns(), entry.GetFormerSince()),
	}
}

func sortedKeys[K cmp.Ordered, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}
