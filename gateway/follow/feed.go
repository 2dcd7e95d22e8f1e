package follow

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// Timing of calls that follow another node.
const (
	// followWait is how long the other node waits for a change before it responds. Load
	// reports are sent with the request, so it is also their interval.
	followWait = 500 * time.Millisecond
	// coalesceDelay is how long a changed view is held back, so that several changes share
	// one response.
	coalesceDelay = 40 * time.Millisecond
	// followTimeout is the timeout of a call.
	followTimeout = followWait + 400*time.Millisecond
	// maxLessorContactAge is the age of the lessor's contact with the store beyond which
	// other nodes do not rely on it. It allows one failed read of each topic.
	maxLessorContactAge = 950 * time.Millisecond
	// maxRelayContactAge is the corresponding limit for a relay. A relay receives data from
	// the lessor every followWait, so its data is older by that time.
	maxRelayContactAge = 1500 * time.Millisecond
	// MemberTimeout is how long a node remains a member after its latest call. A new lessor
	// knows all nodes after this time.
	MemberTimeout = 2 * time.Second
	// peerRetry is the pause after a failed call to another node.
	peerRetry = 250 * time.Millisecond
)

// Feed serves the node's view to other nodes.
type Feed struct {
	Self     view.Member
	State    *view.State
	Contact  *Contact
	IsLessor func() bool
	Logger   hclog.Logger
	// NeedsLessor reports whether there is no lessor and this node could grant nothing as one; nil:
	// never.
	NeedsLessor func() bool
	// Reports receives the reports of followers. Reports are dropped while the channel is
	// full.
	Reports chan Report
	// HandOffs receives the requests of new lessors to this node. Requests are refused
	// while the channel is full.
	HandOffs chan *HandOff

	configText encodedPart
	quarantine encodedPart
	servers    serversEncoder
	routes     routesEncoder

	follows  atomic.Bool // the node follows the lessor, directly or through another node
	resigned atomic.Bool // the node was the lessor and has resigned

	mu      sync.Mutex
	members map[string]followerState // keyed by node
}

// encodedPart caches the JSON of the newest version of a part of the view, because every
// follower receives the same JSON.
type encodedPart struct {
	mu      sync.Mutex
	version int64
	text    []byte
}

// encode returns the JSON of a version of a part.
func (e *encodedPart) encode(version int64, part any) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.text != nil && e.version == version {
		return e.text, nil
	}
	text, err := json.Marshal(part)
	if err != nil {
		return nil, err
	}
	e.version, e.text = version, text
	return text, nil
}

// followerState describes a node that follows this one.
type followerState struct {
	view.Member
	lastCallAt    time.Time
	followers     []view.Member // nodes that follow this follower
	followersHash uint64
}

// NewFeed returns a feed without followers.
func NewFeed(self view.Member, state *view.State, contact *Contact, isLessor func() bool) *Feed {
	return &Feed{Self: self, State: state, Contact: contact, IsLessor: isLessor, Logger: hclog.NewNullLogger(), Reports: make(chan Report, 64), HandOffs: make(chan *HandOff, 1), members: map[string]followerState{}}
}

// Handler returns the path and handler of the feed's calls.
func (f *Feed) Handler() (string, http.Handler) { return bspbconnect.NewGatewayHandler(f) }

// Follow implements bspbconnect.GatewayHandler.
func (f *Feed) Follow(ctx context.Context, request *connect.Request[bspb.FollowRequest]) (*connect.Response[bspb.FollowReply], error) {
	msg := request.Msg
	startedAt := clock.Now()
	followersHash := f.noteFollower(msg)
	mergeLimits(f.State, f.Logger, limitsOf(msg.Limits), msg.GetMember().GetNode())
	mergeLeaving(f.State, f.Logger, leavingOf(msg.Leaving, msg.GetMember().GetNode()))
	if report := reportOf(msg); !report.isEmpty() {
		select {
		case f.Reports <- report:
		default: // the next report contains nearly the same data
		}
	}
	f.awaitChange(ctx, msg)
	reply, err := f.reply(msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	reply.FollowersHash = followersHash
	reply.HeldMs = uint32(clock.Since(startedAt).Milliseconds())
	return connect.NewResponse(reply), nil
}

// awaitChange waits until the view is newer than the versions in the request, or until the
// node's contact with the store becomes too old for its followers.
func (f *Feed) awaitChange(ctx context.Context, msg *bspb.FollowRequest) {
	wait := time.Duration(msg.WaitMs) * time.Millisecond
	if age, known := f.Contact.Age(); known && age < contactLimit(f.IsLessor()) {
		wait = min(wait, contactLimit(f.IsLessor())-age)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	f.awaitContact(ctx)
	for {
		changed := f.State.Changed()
		if f.hasNewer(msg) {
			clock.Wait(ctx, coalesceDelay)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awaitContact waits until a starting node has read the store, because callers cannot rely
// on its response before then.
func (f *Feed) awaitContact(ctx context.Context) {
	for {
		if _, known := f.Contact.Age(); known || !clock.Wait(ctx, minReadPause) {
			return
		}
	}
}

// contactLimit returns the age of a node's contact with the store beyond which its
// followers do not rely on it.
func contactLimit(isLessor bool) time.Duration {
	if isLessor {
		return maxLessorContactAge
	}
	return maxRelayContactAge
}

// SetFollows sets whether the node follows the lessor.
func (f *Feed) SetFollows(follows bool) { f.follows.Store(follows) }

// SetResigned sets whether the node was the latest lessor and has resigned.
func (f *Feed) SetResigned(resigned bool) { f.resigned.Store(resigned) }

func (f *Feed) hasNewer(msg *bspb.FollowRequest) bool {
	v := f.State.Now()
	return v.Config != nil && uint64(v.Config.Version) > msg.ConfigVersion ||
		int64(v.Servers.Offset) > msg.ServersOffset ||
		newerRoutes(v, msg) || newerShares(v, msg) || newerGuidance(v, msg) || newerQuarantine(v, msg) || newerEvacuation(v, msg) || f.hasNewerLeaving(v, msg)
}

func newerShares(v *view.View, msg *bspb.FollowRequest) bool {
	return v.Shares.Version().IsAfter(versionOf(msg.SharesOffset, msg.SharesSerial))
}

func newerRoutes(v *view.View, msg *bspb.FollowRequest) bool {
	return v.Routes.Lessor.Boot != "" && v.Routes.Version().IsAfter(routesVersion(msg))
}

func (f *Feed) reply(msg *bspb.FollowRequest) (*bspb.FollowReply, error) {
	reply := &bspb.FollowReply{ContactAgeMs: -1, IsLessor: f.IsLessor(), FollowsLessor: f.follows.Load()}
	if age, known := f.Contact.Age(); known {
		reply.ContactAgeMs = age.Milliseconds()
	}
	reply.ServersNext = int64(f.Contact.Next()) // read before the view, which contains at least these records
	v := f.State.Now()
	reply.Resigned = f.resigned.Load() && v.Routes.Lessor.Boot == f.Self.Boot
	reply.NeedsLessor = f.NeedsLessor != nil && f.NeedsLessor()
	reply.Evacuation = evacuationMessage(v, msg)
	reply.Limits = limitMessages(v.Limits.Without(limitsOf(msg.Limits), time.Now()))
	f.addLeaving(reply, msg, v)
	var err error
	if v.Config != nil && uint64(v.Config.Version) > msg.ConfigVersion {
		reply.Config, err = f.configText.encode(int64(v.Config.Version), v.Config)
	}
	if err == nil && int64(v.Servers.Offset) > msg.ServersOffset {
		err = f.servers.encode(reply, msg, v)
	}
	if newerRoutes(v, msg) {
		reply.Routes = f.routes.encode(msg, v.Routes)
	}
	if newerShares(v, msg) {
		reply.Shares = sharesMessage(v.Shares)
	}
	if newerGuidance(v, msg) {
		reply.Guidance = guidanceMessage(v.Guidance)
	}
	if err == nil && newerQuarantine(v, msg) {
		reply.QuarantineOffset = int64(v.Quarantine.Offset)
		reply.Quarantine, err = f.quarantine.encode(reply.QuarantineOffset, v.Quarantine.List)
	}
	if v.MembersHash() != msg.MembersHash {
		reply.Members = memberMessages(v.Members)
	}
	return reply, err
}

// noteFollower records the calling node, and returns the hash of the followers that it is
// known to have.
func (f *Feed) noteFollower(msg *bspb.FollowRequest) uint64 {
	if msg.Member == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := f.members[msg.Member.Node]
	if seen.Boot != msg.Member.Boot || msg.FollowersHash == 0 {
		seen.followers, seen.followersHash = nil, 0
	}
	if len(msg.Followers) > 0 {
		seen.followers, seen.followersHash = membersOf(msg.Followers), msg.FollowersHash
	}
	seen.Member = memberOf(msg.Member)
	seen.lastCallAt = time.Now()
	f.members[seen.Node] = seen
	return seen.followersHash
}

// Members returns the nodes that follow this one, directly or through another node, and
// this node itself.
func (f *Feed) Members() []view.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := map[string]view.Member{}
	for node, seen := range f.members {
		if time.Since(seen.lastCallAt) > MemberTimeout {
			delete(f.members, node)
			continue
		}
		for _, follower := range seen.followers {
			if _, exists := members[follower.Node]; !exists {
				members[follower.Node] = follower
			}
		}
	}
	for node, seen := range f.members {
		members[node] = seen.Member // newer than what another node reports
	}
	members[f.Self.Node] = f.Self
	list := slices.Collect(maps.Values(members))
	sortMembers(list)
	return list
}

// Followers returns the nodes that follow this one, without this node itself.
func (f *Feed) Followers() []view.Member {
	return slices.DeleteFunc(f.Members(), func(m view.Member) bool { return m.Node == f.Self.Node })
}
