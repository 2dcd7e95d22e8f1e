package follow

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	"github.com/burdockspindle/burdockspindle/metrics"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var leavingByAnswer = metrics.New("gateway_leaving").Counter("by_answer")

// mergeLeaving adds servers that have said that they leave, and logs those that were not known.
func mergeLeaving(state *view.State, logger hclog.Logger, servers []view.LeavingServer) {
	if len(servers) == 0 {
		return
	}
	for _, added := range state.MergeLeaving(servers) {
		leavingByAnswer.Add(1)
		server := state.Now().Registered()[added.Server]
		eventLeaving.Log(logger, "server", added.Server, "service", server.Service, "age", time.Since(added.At), "from", added.From, "keysUntil", time.Until(server.LeaveBy))
	}
}

// leavingMessages returns the servers of a list from a position on for another node, without those that it has
// reported itself. From the first position on it gets all: what it reported may have been an earlier incarnation.
func leavingMessages(list view.Leaving, position uint64, to string) []*bspb.LeavingServer {
	var messages []*bspb.LeavingServer
	for _, server := range list.Since(position) {
		if server.From != to || position == 0 {
			messages = append(messages, &bspb.LeavingServer{Server: string(server.Server), AgeMs: uint32(time.Since(server.At).Milliseconds())})
		}
	}
	return messages
}

// leavingOf returns the servers in a message of another node.
func leavingOf(messages []*bspb.LeavingServer, from string) []view.LeavingServer {
	now := time.Now()
	servers := make([]view.LeavingServer, 0, len(messages))
	for _, m := range messages {
		at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
		servers = append(servers, view.LeavingServer{Server: site.ServerID(m.Server), At: at, From: from})
	}
	return servers
}

// addLeaving adds to a reply what the asking node has not been sent yet of the list of leaving servers.
func (f *Feed) addLeaving(reply *bspb.FollowReply, msg *bspb.FollowRequest, v *view.View) {
	if msg.Member == nil { // it does not follow this node
		return
	}
	reply.Leaving = leavingMessages(v.Leaving, f.leavingPosition(msg), msg.Member.Node)
	reply.LeavingBoot, reply.LeavingNext = f.Self.Boot, v.Leaving.Next()
}

// leavingPosition returns the position up to which an asking node has this node's list.
func (f *Feed) leavingPosition(msg *bspb.FollowRequest) uint64 {
	if msg.LeavingBoot != f.Self.Boot {
		return 0
	}
	return msg.LeavingNext
}

// hasNewerLeaving reports whether this node knows of a leaving server that an asking node has not been sent.
func (f *Feed) hasNewerLeaving(v *view.View, msg *bspb.FollowRequest) bool {
	return msg.Member != nil && v.Leaving.Next() > f.leavingPosition(msg)
}

// leavingExchange tells what this node and another one have sent each other of their lists of leaving servers.
type leavingExchange struct {
	boot     string // of the other node
	received uint64 // position in its list
	sent     uint64 // position in this node's list
}

// addLeaving adds to a request what the other node has not been sent yet. It returns the position after that
// in this node's list.
func (f *Follower) addLeaving(request *bspb.FollowRequest, address string) (next uint64) {
	exchanged := f.leaving[address]
	known := f.State.Now().Leaving
	request.Leaving = leavingMessages(known, exchanged.sent, address)
	request.LeavingBoot, request.LeavingNext = exchanged.boot, exchanged.received
	return known.Next()
}

// mergeLeaving applies the leaving servers of a reply to a request with this node's list up to a position.
func (f *Follower) mergeLeaving(reply *bspb.FollowReply, address string, sent uint64) {
	mergeLeaving(f.State, f.Logger, leavingOf(reply.Leaving, address))
	before := f.leaving[address]
	if before.boot != "" && before.boot != reply.LeavingBoot {
		sent = 0 // the request had what an earlier incarnation of the node lacked
	}
	f.leaving[address] = leavingExchange{boot: reply.LeavingBoot, received: reply.LeavingNext, sent: sent}
}
