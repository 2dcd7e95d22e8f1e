package follow

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// Follower follows other nodes' feeds.
type Follower struct {
	Self    view.Member
	State   *view.State
	Reader  *Reader
	Reports *Reports
	Logger  hclog.Logger

	seeds   atomic.Pointer[[]string]
	client  *http.Client
	clients map[string]bspbconnect.GatewayClient
	behind  bool // the lessor's node is not followed
}

// SetSeeds sets the addresses of nodes that may know the site at start. It is
// called before Run, and whenever they change.
func (f *Follower) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// connectTimeout ends an attempt to connect to another node.
const connectTimeout = 400 * time.Millisecond

// Run follows the lessor's node until ctx ends. While that fails, the node reads
// the store itself, and asks other nodes too if the store does not answer.
func (f *Follower) Run(ctx context.Context) {
	transport := &http.Transport{DialContext: upstream.Dialer(connectTimeout).DialContext, DisableCompression: true}
	f.client = &http.Client{Transport: transport}
	f.clients = map[string]bspbconnect.GatewayClient{}
	f.Reader.SetDirect(true)
	for turn := 0; ctx.Err() == nil; turn++ {
		if f.followLessor(ctx) {
			continue
		}
		f.Reader.SetDirect(true)
		if age, known := f.Reader.Contact.Age(); !known || age > staleContact {
			f.askOther(ctx, turn)
		}
		clock.Wait(ctx, peerRetry)
	}
}

// followLessor makes one call to the lessor's node and reports whether the node
// may rely on it.
func (f *Follower) followLessor(ctx context.Context) bool {
	lessor := f.State.Now().Routes.Lessor
	if lessor.Boot == "" || f.Reader.lessor.Load() || lessor.Boot == f.Self.Boot || f.Reader.Ownership().Resigned {
		return false
	}
	reply, err := f.follow(ctx, lessor.Address, followWait)
	if err != nil || !reply.IsLessor {
		f.noteLessor(true, lessor, err)
		return false
	}
	isFresh := reply.ContactAgeMs >= 0 && time.Duration(reply.ContactAgeMs)*time.Millisecond < staleContact
	f.Reader.SetDirect(!isFresh)
	f.noteLessor(false, lessor, nil)
	return true
}

func (f *Follower) noteLessor(behind bool, lessor ranges.Lessor, err error) {
	if behind == f.behind {
		return
	}
	f.behind = behind
	if behind {
		eventLessorLost.Log(f.Logger, "lessor", lessor.Node, "cause", err)
	} else {
		eventLessorBack.Log(f.Logger, "lessor", lessor.Node)
	}
}

// askOther asks one of the nodes known, or a seed, for its view.
func (f *Follower) askOther(ctx context.Context, turn int) {
	seeds := *f.seeds.Load()
	addresses := make([]string, 0, len(seeds))
	for _, member := range f.State.Now().Members {
		addresses = append(addresses, member.Address)
	}
	addresses = append(addresses, seeds...)
	if len(addresses) == 0 {
		return
	}
	address := addresses[turn%len(addresses)]
	if address == f.Self.Address {
		return
	}
	if _, err := f.follow(ctx, address, 0); err != nil {
		eventPeerFailed.Log(f.Logger, "address", address, "cause", err)
	}
}

func (f *Follower) follow(ctx context.Context, address string, wait time.Duration) (*bspb.FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	client := f.clients[address]
	if client == nil {
		client = bspbconnect.NewGatewayClient(f.client, "http://"+address)
		f.clients[address] = client
	}
	report := f.Reports.Drain()
	request := &bspb.FollowRequest{
		Member:    memberMessage(f.Self),
		KeyCounts: report.KeyCounts,
		Paces:     report.Paces,
		WaitMs:    uint32(wait.Milliseconds()),
	}
	describe(request, f.State.Now())
	response, err := client.Follow(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, f.merge(response.Msg, address)
}

// describe names the parts of a view that the node has.
func describe(request *bspb.FollowRequest, v *view.View) {
	if v.Config != nil {
		request.ConfigVersion = uint64(v.Config.Version)
	}
	request.ServersOffset = int64(v.Servers.Offset)
	request.TableOffset = int64(v.Routes.Offset)
	if v.Routes.Lessor.Boot == "" {
		request.TableOffset = -1
	}
	request.RoutesSerial = v.Routes.Serial
	request.MembersHash = hashMembers(v.Members)
}

// merge takes what another node knows better.
func (f *Follower) merge(reply *bspb.FollowReply, from string) error {
	if len(reply.Config) > 0 {
		var config site.Config
		if err := json.Unmarshal(reply.Config, &config); err != nil {
			return err
		}
		if f.State.MergeConfig(&config) {
			eventConfig.Log(f.Logger, "version", config.Version, "routes", len(config.Routes), "from", from)
		}
	}
	if len(reply.Servers) > 0 {
		var servers view.Servers
		if err := json.Unmarshal(reply.Servers, &servers); err != nil {
			return err
		}
		before := f.State.Now().Servers.Servers
		if f.State.MergeServers(servers) {
			f.Reader.logServers(before, servers.Servers)
		}
	}
	if reply.Routes != nil {
		routes, ok := routesOf(reply.Routes)
		if !ok {
			return &MalformedError{From: from}
		}
		f.State.MergeRoutes(routes)
	}
	if reply.IsLessor {
		f.State.SetMembers(membersOf(reply.Members))
	}
	return nil
}

// MalformedError reports an answer of another node that cannot be understood.
type MalformedError struct{ From string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed answer of the node at " + e.From }
