package sitefake

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// operator is the writer of records that do not come from a node.
const operator = "operator@1"

// Keyed returns the configuration of a service sharded by key.
func Keyed(name string, shards uint32, dependsOn ...string) *bspb.ServiceConfig {
	return &bspb.ServiceConfig{
		Name: name, Keyed: true, Shards: shards, DependsOn: dependsOn, ChecksFencing: true,
		ConcurrencyPerServer: 4, ConnectionsPerServer: 100,
		DeadlineMs: uint64((10 * time.Second).Milliseconds()),
		Weighting:  bspb.Weighting_WEIGHTING_UNAVAILABILITY, MaxBodyBytes: 1 << 20,
	}
}

// Unkeyed returns the configuration of a service that is not sharded by key.
func Unkeyed(name string, dependsOn ...string) *bspb.ServiceConfig {
	service := Keyed(name, 0, dependsOn...)
	service.Keyed = false
	return service
}

// Publish replaces the site configuration with one that trusts the VM list and has
// one group per zone.
func (s *Site) Publish(services ...*bspb.ServiceConfig) state.Result {
	return s.PublishSite(&bspb.SiteConfig{Services: services, GroupsPerZone: 1, TrustVmList: true})
}

// PublishSite replaces the site configuration.
func (s *Site) PublishSite(config *bspb.SiteConfig) state.Result {
	return s.Apply(operator, &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base: s.View().SiteVersion(), Text: []byte("{}"), Compiled: config,
	}}})
}

// Join adds a node in its first incarnation, whose boot is "1".
func (s *Site) Join(id, zone string) state.Result {
	return s.Apply(operator, &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: id, Boot: "1", Zone: zone, Region: "region", PeerAddress: "127.0.0.1:1",
	}}})
}

// Server adds or replaces a server in the first group of its zone.
func (s *Site) Server(id, service, zone string, phase state.Phase) state.Result {
	return s.Apply(operator, &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
		Upsert: []*bspb.ServerEntry{{
			Id: id, Service: service, Zone: zone, Address: "127.0.0.1:2",
			Group: string(topo.MakeGroupID(topo.Zone(zone), 0)), Phase: bspb.ServerPhase(phase),
		}},
	}}})
}

// Lessor makes a node the lessor of the first group of a zone.
func (s *Site) Lessor(zone, node string) state.Result {
	id := topo.MakeGroupID(topo.Zone(zone), 0)
	group, _ := s.View().Group(id)
	return s.Apply(operator, &bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: &bspb.ClaimTerm{
		Group: string(id), Node: node, Boot: "1",
		Expected: &bspb.Ordinal{Offset: uint64(group.Term.Offset), Rank: group.Term.Rank},
	}}})
}

// ConfirmLost confirms the loss of a server.
func (s *Site) ConfirmLost(server string) state.Result {
	return s.Apply(operator, &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{
		Servers: []string{server}, Source: "test",
	}}})
}

// PerformMove performs one move as the lessor of the owner's group would.
func (s *Site) PerformMove(move *bspb.ShardMove) state.Result {
	view := s.View()
	id := topo.ShardID{Service: topo.Service(move.Shard.Service), Index: move.Shard.Index, Key: move.Shard.Key}
	current, exists := view.Shard(id)
	if !exists {
		current, _ = view.Shard(topo.ShardID{Service: id.Service, Index: id.Index})
	}
	owner, _ := view.Server(current.Owner)
	group, _ := view.Group(owner.Group)
	return s.Apply(operator, &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: &bspb.AssignShards{
		Group: string(group.ID), Term: &bspb.Ordinal{Offset: uint64(group.Term.Offset), Rank: group.Term.Rank},
		Assignments: []*bspb.Assignment{{
			Shard: move.Shard, Expected: move.Fence, Owner: move.To, Standby: move.Standby, Merge: move.Merge,
		}},
	}}})
}
