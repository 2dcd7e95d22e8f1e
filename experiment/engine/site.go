package engine

import (
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// site is the state of one run.
type site struct {
	options    *Options
	deployment *model.Deployment
	clock      *clock
	random     *rand.Rand
	streams    uint64

	log       *sharedLog
	nodeList  []*node // in a fixed order
	nodes     map[topo.NodeID]*node
	servers   map[topo.ServerID]*server
	byService map[topo.Service][]*server // including replacements
	lostZones map[topo.Zone]bool

	planning     *planning
	availability *availability
	measure      *measure
	started      bool // callers' requests have started
	keys         map[int][]string
}

// stream returns the next random number stream of the run. Streams are derived from the
// run's seed in fixed order.
func (s *site) stream() *rand.Rand {
	s.streams++
	return rand.New(rand.NewPCG(s.options.Seed, s.streams))
}

func newSite(options *Options) *site {
	s := &site{
		options:    options,
		deployment: options.Deployment,
		clock:      newClock(),
		nodes:      map[topo.NodeID]*node{},
		servers:    map[topo.ServerID]*server{},
		byService:  map[topo.Service][]*server{},
		lostZones:  map[topo.Zone]bool{},
		keys:       map[int][]string{},
	}
	s.random = s.stream()
	s.log = newSharedLog(s)
	s.measure = newMeasure(s)
	s.availability = newAvailability(s)
	s.planning = newPlanning(s, s.stream())
	s.addServers()
	s.addNodes()
	s.writeSetup()
	return s
}

func (s *site) addServers() {
	for i := range s.deployment.Services {
		service := &s.deployment.Services[i]
		for j := range service.Targets {
			zone := s.deployment.Zones[j%len(s.deployment.Zones)]
			s.addServer(service, i, model.ServerID(service.Name, j), zone)
		}
	}
}

func (s *site) addServer(service *model.Service, index int, id topo.ServerID, zone topo.Zone) *server {
	added := &server{
		site: s, id: id, service: service, index: index, zone: zone, slow: 1, random: s.stream(),
	}
	added.restart(topo.BootID(string(id) + "-1"))
	s.servers[id] = added
	s.byService[service.Name] = append(s.byService[service.Name], added)
	return added
}

func (s *site) addNodes() {
	for _, zone := range s.deployment.Zones {
		for i := range s.deployment.EntryPerZone {
			n := newNode(s, model.NodeID(zone, i), zone, s.stream())
			s.nodes[n.id] = n
			s.nodeList = append(s.nodeList, n)
		}
	}
	for _, n := range s.nodeList {
		for _, zone := range s.deployment.Zones {
			n.members = append(n.members, newGroupMember(n, topo.MakeGroupID(zone, 0)))
		}
	}
}

// writeSetup writes the site configuration and the members to the log, as
// operators and the membership module do in production.
func (s *site) writeSetup() {
	s.log.setup(&bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Compiled: siteconfig.ToProto(s.deployment.Site()),
	}}})
	for _, n := range s.nodeList {
		s.log.setup(&bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
			Node: string(n.id), Boot: string(n.boot), Zone: string(n.zone), PeerAddress: string(n.id),
		}}})
	}
	update := &bspb.UpdateServers{}
	for i := range s.deployment.Services {
		for _, added := range s.byService[s.deployment.Services[i].Name] {
			update.Upsert = append(update.Upsert, added.entry(bspb.ServerPhase_SERVER_PHASE_LIVE))
		}
	}
	s.log.setup(&bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: update}})
	for _, n := range s.nodeList {
		n.view = s.log.view
	}
}

// entry returns the registry entry of the server for the log.
func (s *server) entry(phase bspb.ServerPhase) *bspb.ServerEntry {
	return &bspb.ServerEntry{
		Id: string(s.id), Service: string(s.service.Name), Zone: string(s.zone), Address: string(s.id),
		Group: string(topo.MakeGroupID(s.zone, 0)), Phase: phase,
	}
}

// delay returns the one-way delay between two VMs.
func (s *site) delay(a, b topo.Zone) time.Duration {
	if a == b {
		return s.deployment.LocalDelay
	}
	return s.deployment.ZoneDelay
}

// entry returns the entry VM that the platform's balancer chose, or the next VM
// that is up.
func (s *site) entry(index int) *node {
	for i := range s.nodeList {
		n := s.nodeList[(index+i)%len(s.nodeList)]
		if n.up {
			return n
		}
	}
	return s.nodeList[index%len(s.nodeList)]
}

// warmStart reports whether objects created now are treated as warm: the run has not
// started, and it is not a cold-start run.
func (s *site) warmStart() bool { return !s.options.Cold && !s.started }

// key returns a key's name.
func (s *site) key(service, index int) string {
	names, exists := s.keys[service]
	if !exists {
		names = make([]string, s.deployment.Services[service].Keys)
		s.keys[service] = names
	}
	if names[index] == "" {
		names[index] = model.Key(s.deployment.Services[service].Name, index)
	}
	return names[index]
}

// warmGates creates the warm queues of the admission points before the run.
func (s *site) warmGates() {
	for _, n := range s.nodeList {
		for _, id := range sortedKeys(s.servers) {
			known, _ := n.view.Server(id)
			group, claimed := n.view.Group(known.Group)
			if !claimed || group.Lessor != n.id {
				continue
			}
			config, _ := n.view.Service(known.Service)
			n.gate(n.gates, known.Service, id, limit.Spec{
				Limit: config.ConcurrencyPerServer, MaxQueued: maxQueued, Ramp: gateRamp,
			})
		}
	}
}
