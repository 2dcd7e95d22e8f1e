package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// log applies records in offset order under one writer per record source.
type log struct {
	state    *State
	sequence map[string]uint64
}

func newLog() *log { return &log{state: New(), sequence: map[string]uint64{}} }

// add applies a record of a writer under its next sequence.
func (l *log) add(writer string, rec *bspb.Record) Result {
	l.sequence[writer]++
	rec.Format, rec.Writer, rec.Sequence = 1, writer, l.sequence[writer]
	return l.state.Apply(l.state.Applied()+1, rec)
}

func publish(base uint64, services ...*bspb.ServiceConfig) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base:     base,
		Text:     fmt.Appendf(nil, "text on %d", base),
		Compiled: &bspb.SiteConfig{Services: services, GroupsPerZone: 1},
	}}}
}

func keyed(name string, shards uint32, maxDisconnectedMs int64) *bspb.ServiceConfig {
	return &bspb.ServiceConfig{Name: name, Keyed: true, Shards: shards, MaxDisconnectedMs: maxDisconnectedMs}
}

func joinNode(id, boot string) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{Node: id, Boot: boot}}}
}

func removeNode(id, boot string) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_RemoveNode{RemoveNode: &bspb.RemoveNode{Node: id, Boot: boot}}}
}

func server(id, service, group string, phase Phase) *bspb.ServerEntry {
	return &bspb.ServerEntry{Id: id, Service: service, Group: group, Phase: bspb.ServerPhase(phase)}
}

func update(upsert []*bspb.ServerEntry, remove ...string) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
		Upsert: upsert, Remove: remove,
	}}}
}

func claim(group string, expected topo.Term, node, standby string) *bspb.ClaimTerm {
	return &bspb.ClaimTerm{
		Group: group, Expected: ordinalToProto(expected.Ordinal),
		Node: node, Boot: "b1", Standby: standby, StandbyBoot: "b1",
	}
}

func claimRecord(body *bspb.ClaimTerm) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: body}}
}

func assign(group string, term topo.Term, assignments ...*bspb.Assignment) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: &bspb.AssignShards{
		Group: group, Term: ordinalToProto(term.Ordinal), Assignments: assignments,
	}}}
}

func newAssignment(shard topo.ShardID, expected topo.Fence, owner, standby string) *bspb.Assignment {
	return &bspb.Assignment{
		Shard: shardToProto(shard), Expected: ordinalToProto(expected.Ordinal),
		Owner: owner, Standby: standby,
	}
}

func confirmLoss(servers, nodes []string) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{
		Servers: servers, Nodes: nodes,
	}}}
}

// encoded returns a state's snapshot as bytes, for comparison.
func encoded(f Frozen) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(f.Snapshot())
	if err != nil {
		panic(err)
	}
	return string(data)
}

// keyIn returns the n-th key of a hash range.
func keyIn(index, count uint32, n int) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%d", i)
		if topo.ShardIndex(key, count) != index {
			continue
		}
		if n == 0 {
			return key
		}
		n--
	}
}
