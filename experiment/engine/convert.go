package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func requestOf(group topo.GroupID, n *node, order lessor.LeaseOrder) serverapi.LeaseRequest {
	return serverapi.LeaseRequest{
		Term:       order.Term.String(),
		Group:      string(group),
		Lessor:     string(n.id) + "@" + string(n.boot),
		Boot:       order.Boot,
		Echo:       order.Echo,
		TTLMs:      order.TTL.Milliseconds(),
		Generation: order.Generation,
		Full:       order.Full,
		Grants:     grantsOf(order.Grants),
		Standby:    grantsOf(order.Standby),
	}
}

func grantsOf(list []lessor.Grant) []serverapi.Grant {
	grants := make([]serverapi.Grant, 0, len(list))
	for _, g := range list {
		grants = append(grants, serverapi.Grant{
			Shard: g.Shard.String(), Fence: g.Fence.String(), Except: g.Except,
		})
	}
	return grants
}

// reportOf converts a reply of a simulated server, which is always valid.
func reportOf(reply serverapi.LeaseReply, active bool) lessor.LeaseReport {
	term, _ := topo.ParseTerm(reply.HighestTerm)
	report := lessor.LeaseReport{
		Refused:     reply.Refused,
		Boot:        reply.Boot,
		Stamp:       reply.Stamp,
		HighestTerm: term,
		Generation:  reply.Generation,
		Remaining:   time.Duration(reply.RemainingMs) * time.Millisecond,
		HasActive:   active || reply.Refused != "",
		Draining:    reply.Draining,
	}
	for _, g := range reply.Active {
		shard, _ := topo.ParseShardID(g.Shard)
		fence, _ := topo.ParseFence(g.Fence)
		report.Active = append(report.Active, lessor.Grant{Shard: shard, Fence: fence})
	}
	for _, text := range reply.Busy {
		shard, _ := topo.ParseShardID(text)
		report.Busy = append(report.Busy, shard)
	}
	return report
}

func ordinalOf(o topo.Ordinal) *bspb.Ordinal {
	if o.IsZero() {
		return nil
	}
	return &bspb.Ordinal{Offset: uint64(o.Offset), Rank: o.Rank}
}

func claimRecord(group topo.GroupID, n *node, claim lessor.Claim) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: &bspb.ClaimTerm{
		Group:       string(group),
		Expected:    ordinalOf(claim.Expected.Ordinal),
		Node:        string(n.id),
		Boot:        string(n.boot),
		Standby:     string(claim.Standby.Node),
		StandbyBoot: string(claim.Standby.Boot),
		Continued:   ordinalOf(claim.Continued.Ordinal),
	}}}
}

func submissionRecord(group topo.GroupID, s lessor.Submission) *bspb.Record {
	body := &bspb.AssignShards{Group: string(group), Term: ordinalOf(s.Term.Ordinal), Reason: s.Reason}
	for _, a := range s.Assigns {
		body.Assignments = append(body.Assignments, &bspb.Assignment{
			Shard:            refOf(a.Shard),
			Expected:         ordinalOf(a.Expected.Ordinal),
			Owner:            string(a.Owner),
			OwnerBoot:        string(a.OwnerBoot),
			Standby:          string(a.Standby),
			Merge:            a.Merge,
			StandbyWasActive: a.StandbyWasActive,
		})
	}
	return &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: body}}
}

func refOf(id topo.ShardID) *bspb.ShardRef {
	return &bspb.ShardRef{Service: string(id.Service), Index: id.Index, Key: id.Key}
}

func moveOf(move *bspb.ShardMove) lessor.Move {
	return lessor.Move{
		Shard: topo.ShardID{
			Service: topo.Service(move.GetShard().GetService()),
			Index:   move.GetShard().GetIndex(),
			Key:     move.GetShard().GetKey(),
		},
		Fence:   topo.MakeFence(topo.Offset(move.GetFence().GetOffset()), move.GetFence().GetRank()),
		To:      topo.ServerID(move.GetTo()),
		Standby: topo.ServerID(move.GetStandby()),
		Merge:   move.GetMerge(),
	}
}
