package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// When the faults come, as parts of the load's span, and how long they last.
const (
	loseServerAt   = 0.20
	loseNodeAt     = 0.45
	freezeServerAt = 0.65
	frozenFor      = 2500 * time.Millisecond // well past the lease
	vmListLag      = 2 * time.Second         // until the platform notices a lost VM
)

// victims are what the demo loses and freezes.
type victims struct {
	lost   *SiteServer
	frozen *SiteServer
	node   *SiteNode
}

// chooseVictims draws two servers that own keys, and the node that renews the
// leases of the second one's group if it can be told.
func (s *Site) chooseVictims(keys []OwnedKey, random *rand.Rand) (victims, error) {
	owners := s.OwnersOf(keys)
	if len(owners) < 2 {
		return victims{}, &NotReadyError{Missing: "fewer than two servers own keys"}
	}
	random.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	chosen := victims{lost: owners[0], frozen: owners[1]}
	chosen.node = s.LessorOf(chosen.frozen.ID)
	if chosen.node == nil {
		chosen.node = s.Nodes[random.IntN(len(s.Nodes))]
	}
	return chosen, nil
}

// reuseSeed is the seed of a server that takes a lost one's address.
const reuseSeed = 1000

// OwnersOf returns the servers that own the keys, in the site's order.
func (s *Site) OwnersOf(keys []OwnedKey) []*SiteServer {
	owning := map[topo.ServerID]bool{}
	for _, key := range keys {
		owning[key.Owner] = true
	}
	var owners []*SiteServer
	for _, one := range s.Servers {
		if owning[one.ID] {
			owners = append(owners, one)
		}
	}
	return owners
}

// LessorOf returns the node that is the lessor of a server's group; nil when
// there is none.
func (s *Site) LessorOf(id topo.ServerID) *SiteNode {
	view, err := s.View()
	if err != nil {
		return nil
	}
	assigned, _ := view.Server(id)
	group, _ := view.Group(assigned.Group)
	for _, one := range s.Nodes {
		if one.ID == group.Lessor {
			return one
		}
	}
	return nil
}

// LoseServer kills a server; the platform notices after its lag.
func (s *Site) LoseServer(one *SiteServer) {
	one.Kill()
	one.Lost = true
	s.noticeLater(string(one.ID))
}

// ReuseAddress starts a new server of another service at the address of a lost one.
func (s *Site) ReuseAddress(lost *SiteServer) (*SiteServer, error) {
	for _, service := range sortedServices(s.deployment.site) {
		if service.Name == lost.Service {
			continue
		}
		index := s.deployment.servers[service.Name]
		started, err := s.startServerAt(lost.Address, service, index, reuseSeed)
		if err != nil {
			return nil, err
		}
		s.Servers = append(s.Servers, started)
		return started, nil
	}
	return nil, &ServerError{Server: lost.ID, Cause: &OneServiceError{}}
}

// LoseNode kills an entry node; the platform notices after its lag.
func (s *Site) LoseNode(one *SiteNode) {
	one.Lost = true
	_ = one.Kill()
	s.noticeLater(string(one.ID))
}

// ShutDownNode drains an entry node and stops it, as a planned stop does. The
// platform's balancer sends no new connections to it.
func (s *Site) ShutDownNode(ctx context.Context, one *SiteNode) error {
	s.Platform.SetPhase(string(one.ID), vmlist.PhaseLeaving)
	err := one.Shutdown(ctx)
	one.Lost = true
	s.Platform.SetPhase(string(one.ID), vmlist.PhaseGone)
	return err
}

func (s *Site) noticeLater(id string) {
	time.AfterFunc(vmListLag, func() { s.Platform.SetPhase(id, vmlist.PhaseGone) })
}

// injectFaults brings the faults about while the load runs, and returns when the
// frozen server is back.
func (s *Site) injectFaults(ctx context.Context, v victims, span time.Duration, logger hclog.Logger) {
	began := time.Now()
	until := func(part float64) time.Duration {
		return time.Duration(part*float64(span)) - time.Since(began)
	}
	if !clock.Wait(ctx, until(loseServerAt)) {
		return
	}
	eventKilled.Log(logger, "server", v.lost.ID, "zone", v.lost.Zone)
	s.LoseServer(v.lost)
	if !clock.Wait(ctx, until(loseNodeAt)) {
		return
	}
	eventNodeLost.Log(logger, "lost", v.node.ID)
	s.LoseNode(v.node)
	if !clock.Wait(ctx, until(freezeServerAt)) {
		return
	}
	eventFrozen.Log(logger, "server", v.frozen.ID, "for", frozenFor)
	v.frozen.Freeze()
	clock.Wait(ctx, frozenFor)
	v.frozen.Unfreeze()
	eventReturned.Log(logger, "server", v.frozen.ID)
}
