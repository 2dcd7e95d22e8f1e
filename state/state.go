package state

import (
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// incarnation identifies one incarnation of a node.
type incarnation struct {
	node topo.NodeID
	boot topo.BootID
}

// serverRecord is a server with the data that only Apply needs.
type serverRecord struct {
	server     Server
	references int         // assignments that name it as owner or standby
	removed    bool        // dropped when references is 0
	changed    topo.Offset // of the record that last changed it
}

// State is the mutable state of one process. It is not safe for concurrent
// use, but Views taken from it are. Two States that applied the same records
// are equal.
type State struct {
	applied     topo.Offset
	lineage     topo.Offset // offset of the last rebase
	siteVersion uint64
	siteText    []byte
	site        *siteconfig.Site

	tables   cowMap[topo.Service, *shardTable]
	edits    map[topo.Service]*tableEdit
	retiring cowMap[topo.Service, *siteconfig.Service]
	limits   cowMap[topo.Service, pastLimits]
	servers  cowMap[topo.ServerID, Server]
	nodes    cowMap[topo.NodeID, Node]
	groups   cowMap[topo.GroupID, Group]

	lostServers      cowMap[topo.ServerID, bool]
	lostIncarnations cowMap[incarnation, bool]

	serverRecords map[topo.ServerID]*serverRecord
	writers       *writerTable

	view *View // nil after a change
}

// New returns the state before the first record.
func New() *State {
	return &State{
		tables:           newCowMap[topo.Service, *shardTable](),
		edits:            map[topo.Service]*tableEdit{},
		retiring:         newCowMap[topo.Service, *siteconfig.Service](),
		limits:           newCowMap[topo.Service, pastLimits](),
		servers:          newCowMap[topo.ServerID, Server](),
		nodes:            newCowMap[topo.NodeID, Node](),
		groups:           newCowMap[topo.GroupID, Group](),
		lostServers:      newCowMap[topo.ServerID, bool](),
		lostIncarnations: newCowMap[incarnation, bool](),
		serverRecords:    map[topo.ServerID]*serverRecord{},
		writers:          newWriterTable(),
	}
}

// Applied returns the offset of the last record applied.
func (s *State) Applied() topo.Offset { return s.applied }

// Lineage returns the offset of the last rebase; 0 when there was none.
func (s *State) Lineage() topo.Offset { return s.lineage }

// Apply applies the record at offset, which must be the one after Applied. It
// is deterministic. Only Apply and Skip change the state.
func (s *State) Apply(offset topo.Offset, rec *bspb.Record) Result {
	if rec.GetSequence() <= s.writers.lastSequence(rec.GetWriter()) {
		s.Skip(offset)
		return rejected(offset, &Conflict{Reason: ReasonDuplicate, Subject: rec.GetWriter()})
	}
	if body := rec.GetRebase(); body != nil && topo.Offset(body.GetLineage()) == s.lineage {
		return Result{Offset: offset, Accepted: true, Rebase: body}
	}
	result := s.applyBody(offset, rec)
	s.recordWriter(rec)
	s.Skip(offset)
	return result
}

// Skip advances past an entry that this release cannot read.
func (s *State) Skip(offset topo.Offset) {
	s.applied = offset
	s.view = nil
}

// Resume makes a restored state continue at offset although records before it
// are lost. It is used only while a rebased state is built.
func (s *State) Resume(offset topo.Offset) { s.Skip(offset - 1) }

// CompleteRebase completes the rebased state with the Rebase record that started
// the rebase.
func (s *State) CompleteRebase(offset topo.Offset, rec *bspb.Record) {
	s.lineage = offset
	s.recordWriter(rec)
	s.Skip(offset)
}

func (s *State) recordWriter(rec *bspb.Record) {
	s.writers.record(rec.GetWriter(), rec.GetSequence())
	s.writers.prune(len(s.nodes.entries)+maxInactiveWriters, s.currentRun)
}

func (s *State) currentRun(writer string) bool {
	id, boot, valid := record.ParseWriter(writer)
	if !valid {
		return false
	}
	node, exists := s.nodes.get(id)
	return exists && node.Boot == boot
}

func (s *State) applyBody(offset topo.Offset, rec *bspb.Record) Result {
	switch body := rec.GetBody().(type) {
	case *bspb.Record_PublishSite:
		return resultOf(offset, s.applyPublishSite(offset, body.PublishSite))
	case *bspb.Record_JoinNode:
		return resultOf(offset, s.applyJoinNode(body.JoinNode))
	case *bspb.Record_RemoveNode:
		return resultOf(offset, s.applyRemoveNode(body.RemoveNode))
	case *bspb.Record_UpdateServers:
		return resultOf(offset, s.applyUpdateServers(offset, body.UpdateServers))
	case *bspb.Record_ClaimTerm:
		return resultOf(offset, s.applyClaimTerm(offset, body.ClaimTerm))
	case *bspb.Record_AssignShards:
		return s.applyAssignShards(offset, body.AssignShards)
	case *bspb.Record_ConfirmLoss:
		return resultOf(offset, s.applyConfirmLoss(body.ConfirmLoss))
	case *bspb.Record_CheckpointChunk:
		return resultOf(offset, nil)
	case *bspb.Record_Rebase:
		return rejected(offset, &Conflict{
			Reason:   ReasonLineage,
			Expected: offsetText(topo.Offset(body.Rebase.GetLineage())),
			InForce:  offsetText(s.lineage),
		})
	}
	return rejected(offset, &Conflict{Reason: ReasonMalformed, Subject: "record without a known body"})
}

// View returns an immutable snapshot of the state. Without a change in between,
// it returns the same View again at no cost.
func (s *State) View() *View {
	if s.view != nil {
		return s.view
	}
	clear(s.edits)
	s.view = &View{
		applied:          s.applied,
		lineage:          s.lineage,
		siteVersion:      s.siteVersion,
		siteText:         s.siteText,
		site:             s.site,
		tables:           s.tables.share(),
		retiring:         s.retiring.share(),
		limits:           s.limits.share(),
		servers:          s.servers.share(),
		nodes:            s.nodes.share(),
		groups:           s.groups.share(),
		lostServers:      s.lostServers.share(),
		lostIncarnations: s.lostIncarnations.share(),
	}
	return s.view
}

// edit returns a service's table for modification; the service must have one.
func (s *State) edit(service topo.Service) *tableEdit {
	if edit, exists := s.edits[service]; exists {
		return edit
	}
	edit := editTable(s.tables.entries[service])
	s.edits[service] = edit
	s.tables.set(service, edit.table)
	return edit
}

func (s *State) dropTable(service topo.Service) {
	delete(s.edits, service)
	s.tables.remove(service)
}

func resultOf(offset topo.Offset, conflict *Conflict) Result {
	return Result{Offset: offset, Accepted: conflict == nil, Conflict: conflict}
}

func rejected(offset topo.Offset, conflict *Conflict) Result {
	return Result{Offset: offset, Conflict: conflict}
}

// LastSequence returns the last sequence applied for a writer; 0 for none.
func (s *State) LastSequence(writer string) uint64 { return s.writers.lastSequence(writer) }
