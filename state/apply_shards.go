package state

import (
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// change is one decoded assignment of an AssignShards record.
type change struct {
	next     Assignment
	expected topo.Fence
	merge    bool
	fence    topo.Fence   // allocated by the record
	group    topo.GroupID // of the record
	term     topo.Term    // of the record
}

func (s *State) applyAssignShards(offset topo.Offset, body *bspb.AssignShards) Result {
	result := Result{Offset: offset}
	for index, encoded := range body.GetAssignments() {
		conflict := s.applyChange(decodeChange(offset, body, encoded))
		if conflict != nil {
			result.Rejected = append(result.Rejected, Rejection{Index: index, Conflict: conflict})
			continue
		}
		result.Accepted = true
	}
	if !result.Accepted {
		result.Conflict = firstConflict(result.Rejected)
	}
	return result
}

func firstConflict(rejected []Rejection) *Conflict {
	if len(rejected) == 0 {
		return &Conflict{Reason: ReasonMalformed, Subject: "no assignments"}
	}
	return rejected[0].Conflict
}

func decodeChange(offset topo.Offset, body *bspb.AssignShards, encoded *bspb.Assignment) change {
	next := Assignment{
		Shard:     shardFromProto(encoded.GetShard()),
		Owner:     topo.ServerID(encoded.GetOwner()),
		OwnerBoot: topo.BootID(encoded.GetOwnerBoot()),
		Standby:   topo.ServerID(encoded.GetStandby()),
	}
	fence := topo.MakeFence(offset, 0)
	if next.Owner != "" {
		next.Fence = fence
	}
	return change{
		fence:    fence,
		next:     next,
		expected: fenceFromProto(encoded.GetExpected()),
		merge:    encoded.GetMerge(),
		group:    topo.GroupID(body.GetGroup()),
		term:     termFromProto(body.GetTerm()),
	}
}

func (s *State) applyChange(c change) *Conflict {
	table, exists := s.tables.get(c.next.Shard.Service)
	if !exists {
		return &Conflict{Reason: ReasonNoShard, Subject: c.next.Shard.String()}
	}
	current, conflict := currentAssignment(table, c.next.Shard)
	if conflict != nil {
		return conflict
	}
	if conflict := s.checkFenceAndTerm(c, current); conflict != nil {
		return conflict
	}
	if c.merge {
		return s.applyMerge(table, c)
	}
	if conflict := s.checkOwners(c.next, current); conflict != nil {
		return conflict
	}
	s.replaceAssignment(c.next)
	s.dropDrained(c.next.Shard.Service)
	return nil
}

// currentAssignment returns the assignment that covers a shard's keys at
// present. For a key that is not split out it is that of the hash range, so a
// split expects the fence of the hash range, and only the lessor of the range's
// owner may split a key.
func currentAssignment(table *shardTable, id topo.ShardID) (Assignment, *Conflict) {
	if id.Index >= table.count {
		return Assignment{}, &Conflict{Reason: ReasonNoShard, Subject: id.String()}
	}
	if id.Key == "" {
		return *table.at(id.Index), nil
	}
	if topo.ShardIndex(id.Key, table.count) != id.Index {
		return Assignment{}, &Conflict{Reason: ReasonNoShard, Subject: id.String()}
	}
	if split, exists := table.keys[id.Key]; exists {
		return split, nil
	}
	return *table.at(id.Index), nil
}

// checkFenceAndTerm checks that the expected fence is in force and older
// than this record and, when the shard has an owner, that the record was
// written under the term of the owner's group.
func (s *State) checkFenceAndTerm(c change, current Assignment) *Conflict {
	madeHere := current.Fence.Offset >= c.fence.Offset
	if c.expected != current.Fence || madeHere {
		return &Conflict{
			Reason:   ReasonFence,
			Subject:  c.next.Shard.String(),
			Expected: c.expected.String(),
			InForce:  current.Fence.String(),
		}
	}
	if current.Owner == "" {
		return nil
	}
	owner := s.servers.entries[current.Owner]
	group := s.groups.entries[owner.Group]
	if c.group != owner.Group || c.term != group.Term || c.term.IsZero() {
		return &Conflict{
			Reason:   ReasonTerm,
			Subject:  c.next.Shard.String(),
			Expected: termText(c.group, c.term),
			InForce:  termText(owner.Group, group.Term),
		}
	}
	return nil
}

// checkOwners checks that the next owner and standby are eligible for the
// shard. A shard of a retiring service may be released, and may be moved while
// it has an owner.
func (s *State) checkOwners(next, current Assignment) *Conflict {
	retiring := s.isRetiring(next.Shard.Service)
	if next.Owner == "" {
		if retiring && next.Standby == "" {
			return nil
		}
		return &Conflict{Reason: ReasonNoServer, Subject: next.Shard.String(), Expected: "an owner"}
	}
	if retiring && current.Owner == "" {
		return &Conflict{Reason: ReasonNoShard, Subject: next.Shard.String()}
	}
	if next.Owner == next.Standby {
		return &Conflict{Reason: ReasonMalformed, Subject: next.Shard.String(), Expected: "a standby other than the owner"}
	}
	if !s.canTake(next.Owner, next, current) {
		return &Conflict{Reason: ReasonNoServer, Subject: string(next.Owner)}
	}
	if next.Standby != "" && !s.canTake(next.Standby, next, current) {
		return &Conflict{Reason: ReasonNoServer, Subject: string(next.Standby)}
	}
	return nil
}

// canTake reports whether a server may be named for a shard: it must be a
// server of the service that is live or already named by the shard.
func (s *State) canTake(id topo.ServerID, next, current Assignment) bool {
	server, exists := s.servers.get(id)
	if !exists || server.Service != next.Shard.Service {
		return false
	}
	return server.Phase == PhaseLive || id == current.Owner || id == current.Standby
}

// applyMerge returns a split key to its hash range. Both must have the same
// owner in the same incarnation. The range receives the new fence, so that a
// fence that has ended for the key never comes into force for it again.
func (s *State) applyMerge(table *shardTable, c change) *Conflict {
	id := c.next.Shard
	split, isSplit := table.keys[id.Key]
	if id.Key == "" || !isSplit {
		return &Conflict{Reason: ReasonNoShard, Subject: id.String()}
	}
	covering := *table.at(id.Index)
	if covering.Owner != split.Owner || covering.OwnerBoot != split.OwnerBoot {
		return &Conflict{
			Reason:   ReasonOwnersDiffer,
			Subject:  id.String(),
			Expected: string(covering.Owner) + "@" + string(covering.OwnerBoot),
			InForce:  string(split.Owner) + "@" + string(split.OwnerBoot),
		}
	}
	s.edit(id.Service).removeKey(id.Key)
	s.removeReferences(split)
	if covering.Owner != "" {
		covering.Fence = c.fence
		s.edit(id.Service).set(covering)
	}
	return nil
}

func (s *State) replaceAssignment(next Assignment) {
	old, existed := s.tables.entries[next.Shard.Service].get(next.Shard)
	s.addReference(next.Owner)
	s.addReference(next.Standby)
	s.edit(next.Shard.Service).set(next)
	if existed {
		s.removeReferences(old)
	}
}

func (s *State) removeReferences(a Assignment) {
	s.removeReference(a.Owner)
	s.removeReference(a.Standby)
}

// removeTableReferences removes the references of a table that is about to be
// dropped.
func (s *State) removeTableReferences(service topo.Service) {
	table := s.tables.entries[service]
	for index := range table.count {
		s.removeReferences(*table.at(index))
	}
	for _, split := range table.keys {
		s.removeReferences(split)
	}
}

func shardFromProto(ref *bspb.ShardRef) topo.ShardID {
	return topo.ShardID{
		Service: topo.Service(ref.GetService()),
		Index:   ref.GetIndex(),
		Key:     ref.GetKey(),
	}
}

func shardToProto(id topo.ShardID) *bspb.ShardRef {
	return &bspb.ShardRef{Service: string(id.Service), Index: id.Index, Key: id.Key}
}

func termText(group topo.GroupID, term topo.Term) string {
	return string(group) + " " + term.String()
}

func incarnationText(r incarnation) string { return string(r.node) + "@" + string(r.boot) }
