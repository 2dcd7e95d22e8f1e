// Package routetest builds views of a site for tests of the request path by
// applying the records that a log would contain.
package routetest

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// writer is the writer ID of every record.
const writer = "test@1"

// Site is a sitefake.Site with methods that apply the records which tests of the
// request path need.
type Site struct{ *sitefake.Site }

// New returns a site without records.
func New() *Site { return &Site{sitefake.New()} }

// Configure publishes a site configuration with the services.
func (s *Site) Configure(services ...*siteconfig.Service) {
	site := &siteconfig.Site{Services: map[topo.Service]*siteconfig.Service{}, GroupsPerZone: 1}
	for _, service := range services {
		site.Services[service.Name] = service
	}
	s.apply(&bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base:     s.View().SiteVersion(),
		Text:     []byte("{}"),
		Compiled: siteconfig.ToProto(site),
	}}})
}

// Join adds a node, or replaces its incarnation.
func (s *Site) Join(id topo.NodeID, boot topo.BootID, address string) {
	s.apply(&bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: string(id), Boot: string(boot), Zone: "zone-a", Region: "region", PeerAddress: address,
	}}})
}

// Backend adds or replaces a server.
func (s *Site) Backend(server state.Server) {
	s.apply(&bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
		Upsert: []*bspb.ServerEntry{{
			Id:      string(server.ID),
			Service: string(server.Service),
			Zone:    string(server.Zone),
			Address: server.Address,
			Group:   string(server.Group),
			Phase:   bspb.ServerPhase(server.Phase),
		}},
	}}})
}

// Lead makes a node the lessor of a group and returns its term.
func (s *Site) Lead(group topo.GroupID, node topo.NodeID, boot topo.BootID) topo.Term {
	return s.LeadWithStandby(group, node, boot, "")
}

// LeadWithStandby makes a node the lessor of a group, with a standby lessor of the
// same boot ID, and returns the term.
func (s *Site) LeadWithStandby(group topo.GroupID, node topo.NodeID, boot topo.BootID, standby topo.NodeID) topo.Term {
	current, _ := s.View().Group(group)
	claim := &bspb.ClaimTerm{
		Group: string(group), Expected: ordinal(current.Term.Ordinal), Node: string(node), Boot: string(boot),
	}
	if standby != "" {
		claim.Standby, claim.StandbyBoot = string(standby), string(boot)
	}
	s.apply(&bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: claim}})
	led, _ := s.View().Group(group)
	return led.Term
}

// Assign assigns a shard to a server and returns the shard's fence. The record is
// written under the term of the previous owner's group, or of the new owner's if
// there is none. A key that is not split out yet has the fence of its hash range.
func (s *Site) Assign(shard topo.ShardID, owner, standby topo.ServerID) topo.Fence {
	view := s.View()
	current, exists := view.Shard(shard)
	if !exists {
		current, _ = view.Shard(topo.ShardID{Service: shard.Service, Index: shard.Index})
	}
	server, _ := view.Server(owner)
	if previous, exists := view.Server(current.Owner); exists {
		server = previous
	}
	group, _ := view.Group(server.Group)
	s.apply(&bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: &bspb.AssignShards{
		Group: string(group.ID),
		Term:  ordinal(group.Term.Ordinal),
		Assignments: []*bspb.Assignment{{
			Shard:    &bspb.ShardRef{Service: string(shard.Service), Index: shard.Index, Key: shard.Key},
			Expected: ordinal(current.Fence.Ordinal),
			Owner:    string(owner),
			Standby:  string(standby),
		}},
	}}})
	assigned, _ := s.View().Shard(shard)
	return assigned.Fence
}

// AssignAll assigns the shards of a service to the servers in turn.
func (s *Site) AssignAll(service topo.Service, owners ...topo.ServerID) {
	config, _ := s.View().Service(service)
	for index := range config.Shards {
		owner := owners[int(index)%len(owners)]
		s.Assign(topo.ShardID{Service: service, Index: index}, owner, "")
	}
}

// apply appends a record. It panics if the record is refused, because that is a
// mistake in the test.
func (s *Site) apply(rec *bspb.Record) {
	if result := s.Apply(writer, rec); !result.Accepted {
		panic(fmt.Sprintf("record refused: %+v", result))
	}
}

func ordinal(o topo.Ordinal) *bspb.Ordinal {
	if o.IsZero() {
		return nil
	}
	return &bspb.Ordinal{Offset: uint64(o.Offset), Rank: o.Rank}
}
