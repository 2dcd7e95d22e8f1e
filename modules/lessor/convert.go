package lessor

import (
	"time"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func ordinalToProto(o topo.Ordinal) *bspb.Ordinal {
	if o.IsZero() {
		return nil
	}
	return &bspb.Ordinal{Offset: uint64(o.Offset), Rank: o.Rank}
}

func termFromProto(o *bspb.Ordinal) topo.Term {
	return topo.MakeTerm(topo.Offset(o.GetOffset()), o.GetRank())
}

func fenceFromProto(o *bspb.Ordinal) topo.Fence {
	return topo.MakeFence(topo.Offset(o.GetOffset()), o.GetRank())
}

func shardToProto(id topo.ShardID) *bspb.ShardRef {
	return &bspb.ShardRef{Service: string(id.Service), Index: id.Index, Key: id.Key}
}

func shardFromProto(ref *bspb.ShardRef) topo.ShardID {
	return topo.ShardID{Service: topo.Service(ref.GetService()), Index: ref.GetIndex(), Key: ref.GetKey()}
}

func shardsToProto(ids []topo.ShardID) []*bspb.ShardRef {
	refs := make([]*bspb.ShardRef, 0, len(ids))
	for _, id := range ids {
		refs = append(refs, shardToProto(id))
	}
	return refs
}

func shardsFromProto(refs []*bspb.ShardRef) []topo.ShardID {
	ids := make([]topo.ShardID, 0, len(refs))
	for _, ref := range refs {
		ids = append(ids, shardFromProto(ref))
	}
	return ids
}

func modeToProto(mode core.Mode) bspb.LessorMode {
	if mode == core.ModeDisconnected {
		return bspb.LessorMode_LESSOR_MODE_DISCONNECTED
	}
	return bspb.LessorMode_LESSOR_MODE_CONNECTED
}

func modeFromProto(mode bspb.LessorMode) core.Mode {
	if mode == bspb.LessorMode_LESSOR_MODE_DISCONNECTED {
		return core.ModeDisconnected
	}
	return core.ModeConnected
}

func incarnationOf(sender *bspb.Sender) core.Incarnation {
	return core.Incarnation{Node: topo.NodeID(sender.GetNode()), Boot: topo.BootID(sender.GetBoot())}
}

func heartbeatToProto(group topo.GroupID, sender *bspb.Sender, h core.Heartbeat) *bspb.HeartbeatRequest {
	return &bspb.HeartbeatRequest{
		Sender:    sender,
		Group:     string(group),
		Term:      ordinalToProto(h.Term.Ordinal),
		Round:     h.Round,
		Mode:      modeToProto(h.Mode),
		ModeRound: h.ModeRound,
		Applied:   uint64(h.Applied),
		Settled:   h.Settled,
		Resigning: h.Resigning,
		Activated: shardsToProto(h.Activated),
		Undecided: shardsToProto(h.Undecided),
		CutOff:    h.CutOff,
	}
}

func heartbeatFromProto(req *bspb.HeartbeatRequest) core.Heartbeat {
	return core.Heartbeat{
		From:      incarnationOf(req.GetSender()),
		Term:      termFromProto(req.GetTerm()),
		Round:     req.GetRound(),
		Mode:      modeFromProto(req.GetMode()),
		ModeRound: req.GetModeRound(),
		Applied:   topo.Offset(req.GetApplied()),
		Settled:   req.GetSettled(),
		Resigning: req.GetResigning(),
		Activated: shardsFromProto(req.GetActivated()),
		Undecided: shardsFromProto(req.GetUndecided()),
		CutOff:    req.GetCutOff(),
	}
}

func replyToProto(sender *bspb.Sender, r core.HeartbeatReply) *bspb.HeartbeatResponse {
	return &bspb.HeartbeatResponse{
		Sender:         sender,
		Term:           ordinalToProto(r.Term.Ordinal),
		Round:          r.Round,
		Promised:       r.Promised,
		Mode:           modeToProto(r.Mode),
		ModeRound:      r.ModeRound,
		Applied:        uint64(r.Applied),
		HighestTerm:    ordinalToProto(r.HighestTerm.Ordinal),
		ReachesServers: r.ReachesServers,
		SettledTerm:    ordinalToProto(r.SettledTerm.Ordinal),

		DisconnectedTerm: ordinalToProto(r.DisconnectedTerm.Ordinal),
		TellsMode:        r.ReportsMode,
		AskedStandbys:    askedToProto(r.AskedStandbys),
		TellsStandbys:    r.ReportsStandbys,
	}
}

func replyFromProto(resp *bspb.HeartbeatResponse) core.HeartbeatReply {
	return core.HeartbeatReply{
		From:           incarnationOf(resp.GetSender()),
		Term:           termFromProto(resp.GetTerm()),
		Round:          resp.GetRound(),
		Promised:       resp.GetPromised(),
		Mode:           modeFromProto(resp.GetMode()),
		ModeRound:      resp.GetModeRound(),
		Applied:        topo.Offset(resp.GetApplied()),
		HighestTerm:    termFromProto(resp.GetHighestTerm()),
		ReachesServers: resp.GetReachesServers(),
		SettledTerm:    termFromProto(resp.GetSettledTerm()),

		DisconnectedTerm: termFromProto(resp.GetDisconnectedTerm()),
		ReportsMode:      resp.GetTellsMode(),
		AskedStandbys:    askedFromProto(resp.GetAskedStandbys()),
		ReportsStandbys:  resp.GetTellsStandbys(),
	}
}

func askedToProto(asked []core.AskedStandby) []*bspb.AskedStandby {
	var list []*bspb.AskedStandby
	for _, a := range asked {
		list = append(list, &bspb.AskedStandby{
			Node: string(a.Run.Node),
			Boot: string(a.Run.Boot),
			Term: ordinalToProto(a.Term.Ordinal),
		})
	}
	return list
}

func askedFromProto(list []*bspb.AskedStandby) []core.AskedStandby {
	var asked []core.AskedStandby
	for _, a := range list {
		incarnation := core.Incarnation{Node: topo.NodeID(a.GetNode()), Boot: topo.BootID(a.GetBoot())}
		asked = append(asked, core.AskedStandby{Run: incarnation, Term: termFromProto(a.GetTerm())})
	}
	return asked
}

func claimToProto(group topo.GroupID, self core.Incarnation, claim core.Claim) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: &bspb.ClaimTerm{
		Group:       string(group),
		Expected:    ordinalToProto(claim.Expected.Ordinal),
		Node:        string(self.Node),
		Boot:        string(self.Boot),
		Standby:     string(claim.Standby.Node),
		StandbyBoot: string(claim.Standby.Boot),
		Continued:   ordinalToProto(claim.Continued.Ordinal),
		Settled:     claim.Settled,
	}}}
}

func submissionToProto(group topo.GroupID, s core.Submission) *bspb.Record {
	body := &bspb.AssignShards{
		Group:  string(group),
		Term:   ordinalToProto(s.Term.Ordinal),
		Reason: s.Reason,
	}
	for _, a := range s.Assigns {
		body.Assignments = append(body.Assignments, &bspb.Assignment{
			Shard:            shardToProto(a.Shard),
			Expected:         ordinalToProto(a.Expected.Ordinal),
			Owner:            string(a.Owner),
			OwnerBoot:        string(a.OwnerBoot),
			Standby:          string(a.Standby),
			Merge:            a.Merge,
			StandbyWasActive: a.StandbyWasActive,
		})
	}
	return &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: body}}
}

func movesFromProto(moves []*bspb.ShardMove) []core.Move {
	list := make([]core.Move, 0, len(moves))
	for _, move := range moves {
		list = append(list, core.Move{
			Shard:   shardFromProto(move.GetShard()),
			Fence:   fenceFromProto(move.GetFence()),
			To:      topo.ServerID(move.GetTo()),
			Standby: topo.ServerID(move.GetStandby()),
			Merge:   move.GetMerge(),
		})
	}
	return list
}

func orderToRequest(group topo.GroupID, self core.Incarnation, order core.LeaseOrder) serverapi.LeaseRequest {
	return serverapi.LeaseRequest{
		Term:       order.Term.String(),
		Group:      string(group),
		Lessor:     lessorName(self),
		Boot:       order.Boot,
		Echo:       order.Echo,
		TTLMs:      order.TTL.Milliseconds(),
		Generation: order.Generation,
		Full:       order.Full,
		Grants:     grantsToAPI(order.Grants),
		Standby:    grantsToAPI(order.Standby),
	}
}

// lessorName returns the name of a lessor's incarnation in lease requests.
func lessorName(incarnation core.Incarnation) string {
	return string(incarnation.Node) + "@" + string(incarnation.Boot)
}

func grantsToAPI(grants []core.Grant) []serverapi.Grant {
	list := make([]serverapi.Grant, 0, len(grants))
	for _, g := range grants {
		list = append(list, serverapi.Grant{Shard: g.Shard.String(), Fence: g.Fence.String(), Except: g.Except})
	}
	return list
}

// reportFromReply parses a server's reply. Errors are *topo.ParseError.
func reportFromReply(reply serverapi.LeaseReply, withActive bool) (core.LeaseReport, error) {
	report := core.LeaseReport{
		Refused:    reply.Refused,
		Boot:       reply.Boot,
		Stamp:      reply.Stamp,
		Generation: reply.Generation,
		Remaining:  time.Duration(reply.RemainingMs) * time.Millisecond,
		HasActive:  withActive || reply.Refused != "",
		Draining:   reply.Draining,
	}
	var err error
	if report.HighestTerm, err = topo.ParseTerm(reply.HighestTerm); err != nil {
		return report, err
	}
	if report.Active, err = grantsFromAPI(reply.Active); err != nil {
		return report, err
	}
	for _, text := range reply.Busy {
		id, err := topo.ParseShardID(text)
		if err != nil {
			return report, err
		}
		report.Busy = append(report.Busy, id)
	}
	return report, nil
}

func grantsFromAPI(grants []serverapi.Grant) ([]core.Grant, error) {
	list := make([]core.Grant, 0, len(grants))
	for _, g := range grants {
		shard, err := topo.ParseShardID(g.Shard)
		if err != nil {
			return nil, err
		}
		fence, err := topo.ParseFence(g.Fence)
		if err != nil {
			return nil, err
		}
		list = append(list, core.Grant{Shard: shard, Fence: fence, Except: g.Except})
	}
	return list, nil
}
