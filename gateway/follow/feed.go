package follow

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
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
	// its followers read the store themselves: one read of each topic may fail, and
	// a draining server is still noticed by all nodes within two seconds.
	staleContact = 950 * time.Millisecond
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

	configText, serversText encoded

	mu      sync.Mutex
	members map[string]seenMember // by node
}

// encoded keeps the JSON of the newest version of a part of the view: every
// follower gets the same, and encoding it for each of 70 took most of a small
// VM's processor while many servers came and went.
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

type seenMember struct {
	view.Member
	at time.Time
}

// NewFeed returns a feed without followers.
func NewFeed(self view.Member, state *view.State, contact *Contact, isLessor func() bool) *Feed {
	return &Feed{Self: self, State: state, Contact: contact, IsLessor: isLessor, Reports: make(chan Report, 64), members: map[string]seenMember{}}
}

// Handler returns the path and handler of the feed's calls.
func (f *Feed) Handler() (string, http.Handler) { return bspbconnect.NewGatewayHandler(f) }

// Follow implements bspbconnect.GatewayHandler.
func (f *Feed) Follow(ctx context.Context, request *connect.Request[bspb.FollowRequest]) (*connect.Response[bspb.FollowReply], error) {
	asked := request.Msg
	f.see(asked.Member)
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
	return connect.NewResponse(reply), nil
}

// await waits until the view differs from what the request names.
func (f *Feed) await(ctx context.Context, asked *bspb.FollowRequest) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(asked.WaitMs)*time.Millisecond)
	defer cancel()
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

func (f *Feed) differs(asked *bspb.FollowRequest) bool {
	v := f.State.Now()
	return v.Config != nil && uint64(v.Config.Version) > asked.ConfigVersion ||
		int64(v.Servers.Offset) > asked.ServersOffset ||
		routesDiffer(v, asked)
}

func routesDiffer(v *view.View, asked *bspb.FollowRequest) bool {
	offset := int64(v.Routes.Offset)
	return v.Routes.Lessor.Boot != "" && (offset > asked.TableOffset || offset == asked.TableOffset && v.Routes.Serial > asked.RoutesSerial)
}

func (f *Feed) reply(asked *bspb.FollowRequest) (*bspb.FollowReply, error) {
	v := f.State.Now()
	reply := &bspb.FollowReply{ContactAgeMs: -1, IsLessor: f.IsLessor()}
	if age, known := f.Contact.Age(); known {
		reply.ContactAgeMs = age.Milliseconds()
	}
	var err error
	if v.Config != nil && uint64(v.Config.Version) > asked.ConfigVersion {
		reply.Config, err = f.configText.of(int64(v.Config.Version), v.Config)
	}
	if err == nil && int64(v.Servers.Offset) > asked.ServersOffset {
		reply.Servers, err = f.serversText.of(int64(v.Servers.Offset), v.Servers)
	}
	if routesDiffer(v, asked) {
		reply.Routes = routesMessage(v.Routes)
	}
	members := v.Members
	if reply.IsLessor && hashMembers(members) != asked.MembersHash {
		for _, member := range members {
			reply.Members = append(reply.Members, memberMessage(member))
		}
	}
	return reply, err
}

func (f *Feed) see(member *bspb.GatewayMember) {
	if member == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[member.Node] = seenMember{memberOf(member), time.Now()}
}

// Members returns the nodes that follow this one, itself included.
func (f *Feed) Members() []view.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := []view.Member{f.Self}
	for node, seen := range f.members {
		if time.Since(seen.at) > MemberTimeout {
			delete(f.members, node)
			continue
		}
		members = append(members, seen.Member)
	}
	sortMembers(members)
	return members
}
