package engine

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// scheduleFaults schedules the faults relative to the current time, at which arrivals start.
func (s *site) scheduleFaults(faults []Fault) {
	for _, fault := range faults {
		s.clock.after(fault.At, func() { s.beginFault(fault) })
		if fault.Until > 0 {
			s.clock.after(fault.Until, func() { s.endFault(fault) })
		}
	}
}

func (s *site) beginFault(fault Fault) {
	switch fault.Kind {
	case FaultLoseZone:
		s.loseZone(s.deployment.Zones[fault.Zone])
	case FaultLoseLessor:
		s.loseLessor(topo.MakeGroupID(s.deployment.Zones[fault.Zone], 0), fault.Standby)
	case FaultReplace:
		s.replaceInTurn(s.targets(fault), fault.Interval)
	default:
		for _, hit := range s.targets(fault) {
			s.applyFault(hit, fault)
		}
	}
}

// targets lists the servers that a fault affects.
func (s *site) targets(fault Fault) []*server {
	all := s.byService[fault.Service]
	if len(fault.Servers) == 0 {
		return all
	}
	var list []*server
	for _, index := range fault.Servers {
		if index < len(all) {
			list = append(list, all[index])
		}
	}
	return list
}

func (s *site) applyFault(hit *server, fault Fault) {
	switch fault.Kind {
	case FaultSlow:
		hit.slow = fault.Factor
	case FaultLie:
		hit.reportsNoLoad = true
		hit.slow = fault.Factor
	case FaultShed:
		hit.shed = fault.Share
	case FaultFail:
		hit.fail = fault.Share
	case FaultLose:
		s.lose(hit)
	case FaultRestartCold:
		hit.coldUntil = s.clock.now.Add(coldTime)
	}
}

// endFault reverts a fault.
func (s *site) endFault(fault Fault) {
	for _, hit := range s.targets(fault) {
		switch fault.Kind {
		case FaultSlow:
			hit.slow = 1
		case FaultLie:
			hit.reportsNoLoad, hit.slow = false, 1
		case FaultShed:
			hit.shed = 0
		case FaultFail:
			hit.fail = 0
		}
	}
}

// lose stops a server without notice. The VM list shows the loss after vmListDelay.
func (s *site) lose(hit *server) {
	hit.up = false
	s.availability.lost(hit.id)
	s.clock.after(vmListDelay, func() {
		s.confirm(&bspb.ConfirmLoss{Servers: []string{string(hit.id)}, Source: "vm list"})
		s.update(hit, bspb.ServerPhase_SERVER_PHASE_GONE)
	})
}

// loseZone stops every server and entry VM of a zone.
func (s *site) loseZone(zone topo.Zone) {
	s.lostZones[zone] = true
	lost := &bspb.ConfirmLoss{Source: "vm list"}
	for _, id := range sortedKeys(s.servers) {
		hit := s.servers[id]
		if hit.zone == zone && hit.up {
			hit.up = false
			s.availability.lost(id)
			lost.Servers = append(lost.Servers, string(id))
		}
	}
	for _, n := range s.nodeList {
		if n.zone == zone {
			n.up = false
			lost.Nodes = append(lost.Nodes, string(n.id))
		}
	}
	s.clock.after(vmListDelay, func() {
		s.confirm(lost)
		for _, id := range lost.Servers {
			s.update(s.servers[topo.ServerID(id)], bspb.ServerPhase_SERVER_PHASE_GONE)
		}
	})
}

// loseLessor ends the process of the entry VM that is the lessor of a group and, with standby,
// that of its standby lessor, as recorded in the log.
func (s *site) loseLessor(id topo.GroupID, standby bool) {
	group, _ := s.log.view.Group(id)
	lost := []topo.NodeID{group.Lessor}
	if standby {
		lost = append(lost, group.Standby)
	}
	loss := &bspb.ConfirmLoss{Source: "vm list"}
	for _, node := range lost {
		if n, exists := s.nodes[node]; exists && n.up {
			n.up, n.refuse = false, true
			loss.Nodes = append(loss.Nodes, string(node))
		}
	}
	s.clock.after(vmListDelay, func() { s.confirm(loss) })
}

// confirm and update write the records of the membership module at the node that
// watches the VM list.
func (s *site) confirm(loss *bspb.ConfirmLoss) {
	s.write(&bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: loss}})
}

func (s *site) update(changed *server, phase bspb.ServerPhase) {
	s.write(&bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
		Upsert: []*bspb.ServerEntry{changed.entry(phase)},
	}}})
}

func (s *site) write(rec *bspb.Record) {
	if n := s.planning.node(); n != nil {
		s.log.append(n, rec, func(state.Result) {})
	}
}

// replaceInTurn drains one server after another. Each gets a cold replacement at
// once, and stops when it has no grants and no requests.
func (s *site) replaceInTurn(list []*server, interval time.Duration) {
	for i, old := range list {
		s.clock.after(time.Duration(i)*interval, func() { s.replace(old) })
	}
}

func (s *site) replace(old *server) {
	id := topo.ServerID(fmt.Sprintf("%s-next", old.id))
	next := s.addServer(old.service, old.index, id, old.zone)
	next.coldUntil = s.clock.now.Add(coldTime)
	old.holder.SetDraining(true)
	s.clock.after(drainNotice, func() {
		s.update(next, bspb.ServerPhase_SERVER_PHASE_LIVE)
		s.update(old, bspb.ServerPhase_SERVER_PHASE_DRAINING)
	})
	s.clock.after(2*drainNotice, func() {
		old.draining = true
		s.stopWhenEmpty(old)
	})
}

// stopWhenEmpty stops a draining server when it owns nothing and is idle.
func (s *site) stopWhenEmpty(old *server) {
	if old.inFlight == 0 && len(old.holder.Grants()) == 0 {
		old.up = false
		s.update(old, bspb.ServerPhase_SERVER_PHASE_GONE)
		return
	}
	s.clock.after(drainNotice/10, func() { s.stopWhenEmpty(old) })
}
