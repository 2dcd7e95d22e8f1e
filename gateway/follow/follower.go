package follow

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/traffic"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// Follower follows other nodes' feeds.
type Follower struct {
	Self    view.Member
	Feed    *Feed // of this node
	State   *view.State
	Reader  *Reader
	Reports *Reports
	Logger  hclog.Logger

	seeds        atomic.Pointer[[]string]
	client       *http.Client
	clients      map[string]bspbconnect.GatewayClient
	sourceFailed bool                   // the last call to a source failed; changes are logged
	current      string                 // address of the last source that had recent data; empty if there is none
	urgentTarget atomic.Pointer[string] // the last source that had recent data, for urgent reports; nil: none yet
	avoidUntil   map[string]time.Time   // time until which a source is not followed, by address
	// knownFollowers is the hash of this node's followers that each source knows, by
	// address.
	knownFollowers map[string]uint64
	// leaving is what was exchanged of leaving servers with each source, by address.
	leaving map[string]leavingExchange
}

// SetSeeds sets the addresses of nodes that may know the site at start. It is called before
// Run, before the reader starts, and whenever the seeds change.
func (f *Follower) SetSeeds(seeds []string) {
	f.seeds.Store(&seeds)
	f.updatePriority()
}

// updatePriority sets the node's priority among those that may read the store.
func (f *Follower) updatePriority() {
	f.Reader.SetReadPriority(readPriorityOf(f.Self, f.State.Now(), *f.seeds.Load()))
}

// connectTimeout is the timeout of a connection attempt to another node.
const connectTimeout = 400 * time.Millisecond

const (
	// avoidRelay is how long a failed relay is not followed: about the time that the lessor
	// needs to report that the relay is gone.
	avoidRelay = 3 * time.Second
	// avoidLessor is the corresponding time for the lessor. It is shorter, because a lessor
	// that is gone is replaced within two seconds, and if it is not gone, its relays should
	// follow it again soon.
	avoidLessor = time.Second
)

// Run follows the lessor, through a relay if there is one, until ctx ends. While no node
// has recent data, this node reads the store itself according to its read priority.
func (f *Follower) Run(ctx context.Context) {
	f.client = &http.Client{Transport: f.newTransport()}
	f.clients = map[string]bspbconnect.GatewayClient{}
	f.avoidUntil = map[string]time.Time{}
	f.knownFollowers = map[string]uint64{}
	f.leaving = map[string]leavingExchange{}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		f.updatePriority()
		if f.pollSource(ctx) {
			continue
		}
		f.Feed.SetFollows(false)
		if age, known := f.Reader.Contact.Age(); !known || age > maxLessorContactAge {
			f.queryAnyNode(ctx, attempt)
		}
		clock.Wait(ctx, peerRetry)
	}
}

// dial connects to another node and counts the bytes of the connection.
func (f *Follower) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := upstream.Dialer(connectTimeout).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return traffic.Between(traffic.Nodes, f.Self.Zone, f.zoneOf(address)).Conn(conn), nil
}

// zoneOf returns the zone of the node at an address, or an empty string if it is unknown.
func (f *Follower) zoneOf(address string) string {
	for _, member := range f.State.Now().Members {
		if member.Address == address {
			return member.Zone
		}
	}
	return ""
}

// pollSource makes one call to the followed node. If the call fails, or the response has no
// recent data, another node is followed next. It returns true if the caller should poll again
// at once: the response had recent data, or another source has not failed recently.
func (f *Follower) pollSource(ctx context.Context) bool {
	if f.Reader.lessor.Load() {
		return false
	}
	from, found := f.source(time.Now())
	if !found {
		return false
	}
	wait := followWait
	if from.address != f.current && len(f.State.Now().Members) > 0 {
		wait = 0 // respond at once, to show whether its data is recent
	}
	f.setCurrent("")
	reply, err := f.follow(ctx, from.address, wait)
	if err != nil || from.lessor && !reply.IsLessor {
		f.logSource(true, from, err)
		f.avoidFor(from)
		return f.hasAlternative(from)
	}
	age := time.Duration(reply.ContactAgeMs) * time.Millisecond
	isFresh := reply.ContactAgeMs >= 0 && age < contactLimit(from.lessor)
	f.Feed.SetFollows(reply.IsLessor || reply.FollowsLessor)
	f.Reader.NoteLessorNeeded(reply.NeedsLessor)
	if !isFresh {
		f.avoidFor(from)
		return f.hasAlternative(from)
	}
	f.setCurrent(from.address)
	f.logSource(false, from, nil)
	return true
}

func (f *Follower) setCurrent(address string) {
	f.current = address
	if address != "" {
		f.urgentTarget.Store(&address)
	}
}

// source returns the best source that is not avoided. If all are avoided, it returns the best
// one.
func (f *Follower) source(now time.Time) (best source, found bool) {
	list := sources(f.Self, f.State.Now(), *f.seeds.Load())
	for _, s := range list {
		if now.After(f.avoidUntil[s.address]) {
			return s, true
		}
	}
	if len(list) == 0 {
		return source{}, false
	}
	return list[0], true
}

// hasAlternative reports whether there is another source that has not failed recently.
func (f *Follower) hasAlternative(to source) bool {
	other, found := f.source(time.Now())
	return found && other != to && time.Now().After(f.avoidUntil[other.address])
}

func (f *Follower) avoidFor(s source) {
	pause := avoidRelay
	if s.lessor {
		pause = avoidLessor
	}
	f.avoidUntil[s.address] = time.Now().Add(pause)
}

func (f *Follower) logSource(failed bool, from source, err error) {
	if failed == f.sourceFailed {
		return
	}
	f.sourceFailed = failed
	if failed {
		eventSourceLost.Log(f.Logger, "address", from.address, "isLessor", from.lessor, "cause", err)
	} else {
		eventSourceBack.Log(f.Logger, "address", from.address, "isLessor", from.lessor)
	}
}

// queryAnyNode requests the view of one of the known nodes or seeds.
func (f *Follower) queryAnyNode(ctx context.Context, attempt int) {
	seeds := *f.seeds.Load()
	addresses := make([]string, 0, len(seeds))
	for _, member := range f.State.Now().Members {
		addresses = append(addresses, member.Address)
	}
	addresses = append(addresses, seeds...)
	if len(addresses) == 0 {
		return
	}
	address := addresses[attempt%len(addresses)]
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
		client = newGatewayClient(f.client, address)
		f.clients[address] = client
	}
	report := f.Reports.Drain()
	request := &bspb.FollowRequest{
		Member:      memberMessage(f.Self),
		KeyCounts:   report.KeyCounts,
		Paces:       report.Paces,
		ClassCounts: report.Classes,
		Crashes:     report.Crashes,
		Answered:    report.Answered,
		WaitMs:      uint32(wait.Milliseconds()),
	}
	setKnownVersions(request, f.State.Now())
	request.Limits = limitMessages(f.State.Now().Limits.Valid(time.Now()))
	sentLeaving := f.addLeaving(request, address)
	f.addFollowers(request, address)
	startedAt := clock.Now()
	response, err := client.Follow(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	f.knownFollowers[address] = response.Msg.FollowersHash
	f.mergeLeaving(response.Msg, address, sentLeaving)
	at := contactTime(response.Msg, startedAt)
	isWhole, err := f.merge(response.Msg, address)
	if err != nil {
		return nil, err
	}
	if isWhole && response.Msg.ContactAgeMs >= 0 {
		f.Reader.Contact.NotePeerReport(at, store.Offset(response.Msg.ServersNext))
	}
	if response.Msg.Resigned {
		f.Reader.WatchForLessor()
	}
	return response.Msg, nil
}

// addFollowers adds this node's followers to a request, if the other node does not know
// them.
func (f *Follower) addFollowers(request *bspb.FollowRequest, address string) {
	followers := f.Feed.Followers()
	if len(followers) == 0 {
		return
	}
	request.FollowersHash = view.HashMembers(followers)
	if f.knownFollowers[address] != request.FollowersHash {
		request.Followers = memberMessages(followers)
	}
}

// contactTime returns the time of the other node's latest contact with the store. The time
// that the request was not held by the other node is subtracted in full, because all of it
// may have passed while the response was in flight.
func contactTime(reply *bspb.FollowReply, startedAt time.Time) time.Time {
	inFlight := max(clock.Since(startedAt)-time.Duration(reply.HeldMs)*time.Millisecond, 0)
	age := time.Duration(reply.ContactAgeMs)*time.Millisecond + inFlight
	return clock.Now().Add(-age)
}

// setKnownVersions sets the versions of the parts of the view that this node has.
func setKnownVersions(request *bspb.FollowRequest, v *view.View) {
	if v.Config != nil {
		request.ConfigVersion = uint64(v.Config.Version)
	}
	request.ServersOffset = int64(v.Servers.Offset)
	request.ServersSum = v.ServersSum()
	request.TableOffset = int64(v.Routes.Offset)
	if v.Routes.Lessor.Boot == "" {
		request.TableOffset = -1
	}
	request.RoutesSerial = v.Routes.Serial
	request.SharesOffset, request.SharesSerial = int64(v.Shares.Offset), v.Shares.Serial
	request.GuidanceOffset, request.GuidanceSerial = int64(v.Guidance.Offset), v.Guidance.Serial
	request.QuarantineOffset = quarantineOffset(v)
	request.EvacuationOffset = int64(v.Evacuation.Offset)
	request.MembersHash = v.MembersHash()
}

// merge applies the parts of a response that are newer than the view. isWhole is false if
// the response contains a change to a registry or to routes that this node no longer has.
func (f *Follower) merge(reply *bspb.FollowReply, from string) (isWhole bool, err error) {
	if e := reply.Evacuation; e != nil { // before the configuration, with which requests are served
		mergeEvacuation(f.State, f.Logger, store.Offset(e.Offset), e.Zones, from)
	}
	if len(reply.Config) > 0 {
		var config site.Config
		if err := json.Unmarshal(reply.Config, &config); err != nil {
			return false, err
		}
		if f.State.MergeConfig(&config) {
			logConfig(f.Logger, &config, from)
		}
	}
	before := f.State.Now()
	servers, hasServers, err := decodeRegistry(reply, before)
	if err != nil {
		return false, err
	}
	if hasServers && f.State.MergeServers(servers) {
		f.Reader.logServerChanges(before.Servers.Servers)
	}
	mergeLimits(f.State, f.Logger, limitsOf(reply.Limits), from)
	hasRoutes, err := f.mergeRoutes(reply.Routes, from)
	if err != nil {
		return false, err
	}
	if reply.Shares != nil {
		f.State.MergeShares(sharesOf(reply.Shares))
	}
	if reply.Guidance != nil {
		f.State.MergeGuidance(guidanceOf(reply.Guidance))
	}
	if len(reply.Quarantine) > 0 {
		if err := mergeQuarantineReply(f.State, f.Logger, reply, from); err != nil {
			return false, err
		}
	}
	if (reply.IsLessor || reply.FollowsLessor) && len(reply.Members) > 0 {
		f.State.SetMembers(membersOf(reply.Members))
	}
	return hasRoutes && (hasServers || reply.ServersChange == nil), nil
}

// mergeRoutes applies the routes of a response, if there are any. isWhole is false if they
// are a change to routes that this node no longer has.
func (f *Follower) mergeRoutes(message *bspb.GatewayRoutes, from string) (isWhole bool, err error) {
	if message == nil {
		return true, nil
	}
	routes, found, err := decodeRoutes(message, f.State.Now().Routes, from)
	if err == nil && found {
		f.State.MergeRoutes(routes)
	}
	return found, err
}

// MalformedError reports a malformed response of another node.
type MalformedError struct{ From string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response from the node at " + e.From }
