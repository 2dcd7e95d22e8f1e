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

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// Timing of following another node.
const (
	// followWait is how long the other node waits for a change before it answers.
	// Reports of load go along, so it is also their interval.
	followWait = 500 * time.Millisecond
	// coalesce is how long a changed view is held back, so that several changes
	// become one answer.
	coalesce = 40 * time.Millisecond
	// followTimeout ends a call whose answer does not come.
	followTimeout = followWait + 400*time.Millisecond
	// staleContact is the age of the lessor's contact with the store beyond which
	// others do not rely on it: one read of each topic may fail.
	staleContact = 950 * time.Millisecond
	// staleRelay is the same for what a relay tells. A relay hears from the lessor
	// every followWait, so what it tells is that much older.
	staleRelay = 1500 * time.Millisecond
	// MemberTimeout is how long a node counts after its latest call. A lessor knows
	// all nodes after it.
	MemberTimeout = 2 * time.Second
	// peerRetry is the pause after a call to another node failed.
	peerRetry = 250 * time.Millisecond
)

// Feed serves the node's view to other nodes.
type Feed struct {
	Self     view.Member
	State    *view.State
	Contact  *Contact
	IsLessor func() bool
	// Reports receives the reports of followers; a full channel drops them.
	Reports chan Report
	// HandOffs receives the requests of new lessors to this node; a full channel refuses
	// them.
	HandOffs chan *HandOff

	configText encoded
	servers    serversTeller
	routes     routesTeller

	follows  atomic.Bool // the node follows the lessor, directly or by way of another
	resigned atomic.Bool // the node was the lessor and has given the lease up

	mu      sync.Mutex
	members map[string]seenMember // by node
}

// encoded keeps the JSON of the newest version of a part of the view: every
// follower gets the same.
type encoded struct {
	mu      sync.Mutex
	version int64
	text    []byte
}

// of returns the JSON of a part in a version.
func (e *encoded) of(version int64, part any) ([]byte, error) {
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

// seenMember is a node that follows this one.
type seenMember struct {
	view.Member
	at            time.Time
	followers     []view.Member // that follow it, in turn
	followersHash uint64
}

// NewFeed returns a feed without followers.
func NewFeed(self view.Member, state *view.State, contact *Contact, isLessor func() bool) *Feed {
	return &Feed{Self: self, State: state, Contact: contact, IsLessor: isLessor, Reports: make(chan Report, 64), HandOffs: make(chan *HandOff, 1), members: map[string]seenMember{}}
}

// Handler returns the path and handler of the feed's calls.
func (f *Feed) Handler() (string, http.Handler) { return bspbconnect.NewGatewayHandler(f) }

// Follow implements bspbconnect.GatewayHandler.
func (f *Feed) Follow(ctx context.Context, request *connect.Request[bspb.FollowRequest]) (*connect.Response[bspb.FollowReply], error) {
	asked := request.Msg
	startedAt := clock.Now()
	followersHash := f.see(asked)
	if len(asked.KeyCounts)+len(asked.Paces) > 0 {
		select {
		case f.Reports <- Report{KeyCounts: asked.KeyCounts, Paces: asked.Paces}:
		default: // the next report tells nearly the same
		}
	}
	f.await(ctx, asked)
	reply, err := f.reply(asked)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	reply.FollowersHash = followersHash
	reply.HeldMs = uint32(clock.Since(startedAt).Milliseconds())
	return connect.NewResponse(reply), nil
}

// await waits until the view differs from what the request names, or until the
// node's contact with the store becomes too old for its followers.
func (f *Feed) await(ctx context.Context, asked *bspb.FollowRequest) {
	wait := time.Duration(asked.WaitMs) * time.Millisecond
	if age, known := f.Contact.Age(); known && age < staleAfter(f.IsLessor()) {
		wait = min(wait, staleAfter(f.IsLessor())-age)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	f.awaitContact(ctx)
	for {
		changed := f.State.Changed()
		if f.differs(asked) {
			clock.Wait(ctx, coalesce)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awaitContact waits until a node that starts knows the store, since those that ask it
// could not rely on its answer before.
func (f *Feed) awaitContact(ctx context.Context) {
	for {
		if _, known := f.Contact.Age(); known || !clock.Wait(ctx, leastPause) {
			return
		}
	}
}

// staleAfter returns the age of a node's contact with the store beyond which its
// followers do not rely on it.
func staleAfter(isLessor bool) time.Duration {
	if isLessor {
		return staleContact
	}
	return staleRelay
}

// SetFollows tells whether the node follows the lessor.
func (f *Feed) SetFollows(follows bool) { f.follows.Store(follows) }

// SetResigned tells whether the node was the lessor last and has given the lease up.
func (f *Feed) SetResigned(resigned bool) { f.resigned.Store(resigned) }

func (f *Feed) differs(asked *bspb.FollowRequest) bool {
	v := f.State.Now()
	return v.Config != nil && uint64(v.Config.Version) > asked.ConfigVersion ||
		int64(v.Servers.Offset) > asked.ServersOffset ||
		routesDiffer(v, asked) || sharesDiffer(v, asked)
}

func sharesDiffer(v *view.View, asked *bspb.FollowRequest) bool {
	return v.Shares.Version().IsAfter(versionOf(asked.SharesOffset, asked.SharesSerial))
}

func routesDiffer(v *view.View, asked *bspb.FollowRequest) bool {
	return v.Routes.Lessor.Boot != "" && v.Routes.Version().IsAfter(routesVersion(asked))
}

func (f *Feed) reply(asked *bspb.FollowRequest) (*bspb.FollowReply, error) {
	reply := &bspb.FollowReply{ContactAgeMs: -1, IsLessor: f.IsLessor(), FollowsLessor: f.follows.Load()}
	if age, known := f.Contact.Age(); known {
		reply.ContactAgeMs = age.Milliseconds()
	}
	reply.ServersNext = int64(f.Contact.Next()) // before the view, which holds at least that
	v := f.State.Now()
	reply.Resigned = f.resigned.Load() && v.Routes.Lessor.Boot == f.Self.Boot
	var err error
	if v.Config != nil && uint64(v.Config.Version) > asked.ConfigVersion {
		reply.Config, err = f.configText.of(int64(v.Config.Version), v.Config)
	}
	if err == nil && int64(v.Servers.Offset) > asked.ServersOffset {
		err = f.servers.tell(reply, asked, v)
	}
	if routesDiffer(v, asked) {
		reply.Routes = f.routes.tell(asked, v.Routes)
	}
	if sharesDiffer(v, asked) {
		reply.Shares = sharesMessage(v.Shares)
	}
	if v.MembersSum() != asked.MembersHash {
		reply.Members = memberMessages(v.Members)
	}
	return reply, err
}

// see takes who asks, and returns the hash of the followers that it is known to
// have.
func (f *Feed) see(asked *bspb.FollowRequest) uint64 {
	if asked.Member == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := f.members[asked.Member.Node]
	if seen.Boot != asked.Member.Boot || asked.FollowersHash == 0 {
		seen.followers, seen.followersHash = nil, 0
	}
	if len(asked.Followers) > 0 {
		seen.followers, seen.followersHash = membersOf(asked.Followers), asked.FollowersHash
	}
	seen.Member = memberOf(asked.Member)
	seen.at = time.Now()
	f.members[seen.Node] = seen
	return seen.followersHash
}

// Members returns the nodes that follow this one, directly or by way of another,
// itself included.
func (f *Feed) Members() []view.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := map[string]view.Member{}
	for node, seen := range f.members {
		if time.Since(seen.at) > MemberTimeout {
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
		members[node] = seen.Member // newer than what another one tells
	}
	members[f.Self.Node] = f.Self
	list := slices.Collect(maps.Values(members))
	sortMembers(list)
	return list
}

// Followers returns the nodes that follow this one, without itself.
func (f *Feed) Followers() []view.Member {
	return slices.DeleteFunc(f.Members(), func(m view.Member) bool { return m.Node == f.Self.Node })
}
