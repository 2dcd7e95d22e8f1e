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

// Start times of the faults, as fractions of the load's span, and their durations.
const (
	loseServerAt   = 0.20
	loseNodeAt     = 0.45
	freezeServerAt = 0.65
	freezeDuration = 2500 * time.Millisecond // well beyond the lease
	vmListLag      = 2 * time.Second         // until the platform detects a lost VM
)

// faultTargets are the servers and the node that the demo kills or freezes.
type faultTargets struct {
	lost   *SiteServer
	frozen *SiteServer
	node   *SiteNode
}

// chooseFaultTargets draws two servers that own keys, and the node that renews the
// leases of the second server's group, or any node if that one is unknown.
func (s *Site) chooseFaultTargets(keys []OwnedKey, random *rand.Rand) (faultTargets, error) {
	owners := s.OwnersOf(keys)
	if len(owners) < 2 {
		return faultTargets{}, &NotReadyError{Missing: "fewer than two servers own keys"}
	}
	random.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	chosen := faultTargets{lost: owners[0], frozen: owners[1]}
	chosen.node = s.LessorOf(chosen.frozen.ID)
	if chosen.node == nil {
		chosen.node = s.Nodes[random.IntN(len(s.Nodes))]
	}
	return chosen, nil
}

// reuseSeed is the seed of a server that reuses the address of a lost server.
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

// LessorOf returns the node that is the lessor of a server's group; nil if
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

// KillServer kills a server; the platform detects the loss after vmListLag.
func (s *Site) KillServer(one *SiteServer) {
	one.Kill()
	one.Lost = true
	s.markGoneLater(string(one.ID))
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

// KillNode kills an entry node; the platform detects the loss after vmListLag.
func (s *Site) KillNode(one *SiteNode) {
	one.Lost = true
	_ = one.Kill()
	s.markGoneLater(string(one.ID))
}

// ShutDownNode drains and stops an entry node as in a planned stop. The
// platform's balancer sends no new connections to it.
func (s *Site) ShutDownNode(ctx context.Context, one *SiteNode) error {
	s.Platform.SetPhase(string(one.ID), vmlist.PhaseLeaving)
	err := one.Shutdown(ctx)
	one.Lost = true
	s.Platform.SetPhase(string(one.ID), vmlist.PhaseGone)
	return err
}

func (s *Site) markGoneLater(id string) {
	time.AfterFunc(vmListLag, func() { s.Platform.SetPhase(id, vmlist.PhaseGone) })
}

// injectFaults injects the faults while the load runs, and returns when the
// frozen server runs again.
func (s *Site) injectFaults(ctx context.Context, v faultTargets, span time.Duration, logger hclog.Logger) {
	began := time.Now()
	until := func(part float64) time.Duration {
		return time.Duration(part*float64(span)) - time.Since(began)
	}
	if !clock.Wait(ctx, until(loseServerAt)) {
		return
	}
	eventKilled.Log(logger, "server", v.lost.ID, "zone", v.lost.Zone)
	s.KillServer(v.lost)
	if !clock.Wait(ctx, until(loseNodeAt)) {
		return
	}
	eventNodeLost.Log(logger, "lost", v.node.ID)
	s.KillNode(v.node)
	if !clock.Wait(ctx, until(freezeServerAt)) {
		return
	}
	eventFrozen.Log(logger, "server", v.frozen.ID, "for", freezeDuration)
	v.frozen.Freeze()
	clock.Wait(ctx, freezeDuration)
	v.frozen.Unfreeze()
	eventReturned.Log(logger, "server", v.frozen.ID)
}
