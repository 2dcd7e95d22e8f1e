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
	table := f.State.Now().Table.Table
	if table == nil || f.Reader.lessor.Load() || table.Lessor.Boot == f.Self.Boot || f.Reader.Ownership().Resigned {
		return false
	}
	reply, err := f.follow(ctx, table.Lessor.Address, followWait)
	if err != nil || !reply.IsLessor {
		f.noteLessor(true, table, err)
		return false
	}
	isFresh := reply.ContactAgeMs >= 0 && time.Duration(reply.ContactAgeMs)*time.Millisecond < staleContact
	f.Reader.SetDirect(!isFresh)
	f.noteLessor(false, table, nil)
	return true
}

func (f *Follower) noteLessor(behind bool, table *ranges.Table, err error) {
	if behind == f.behind {
		return
	}
	f.behind = behind
	if behind {
		eventLessorLost.Log(f.Logger, "lessor", table.Lessor.Node, "cause", err)
	} else {
		eventLessorBack.Log(f.Logger, "lessor", table.Lessor.Node)
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
	counts, paces := f.Reports.take()
	request := &bspb.FollowRequest{Member: toMessage(f.Self), KeyCounts: counts, Paces: paces, WaitMs: uint32(wait.Milliseconds())}
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
	request.TableOffset = int64(v.Table.Offset)
	if v.Table.Table == nil {
		request.TableOffset = -1
	}
	request.RoutesBoot = v.Routes.Boot
	request.RoutesSerial = v.Routes.Serial
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
	if err := f.mergeTable(reply); err != nil {
		return err
	}
	if reply.IsLessor {
		f.State.SetMembers(members(reply.Members))
	}
	return nil
}

func (f *Follower) mergeTable(reply *bspb.FollowReply) error {
	table := f.State.Now().Table
	if len(reply.Table) > 0 {
		table = view.Table{} // the known one is shared
		if err := json.Unmarshal(reply.Table, &table); err != nil {
			return err
		}
	}
	if len(reply.Routes) == 0 {
		return nil
	}
	var routes view.Routes
	if err := json.Unmarshal(reply.Routes, &routes); err != nil {
		return err
	}
	f.State.MergeRoutes(table, routes)
	return nil
}
