package router

import (
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// dump is the router's section of the state dump.
type dump struct {
	InFlight       int64                        `json:"inFlight"`
	Activations    []route.Activation           `json:"activations"`
	Servers        []load.ServerStats           `json:"servers"`
	EjectedServers map[topo.ServerID]time.Time  `json:"ejectedServers"`
	EjectedNodes   map[topo.NodeID]time.Time    `json:"ejectedNodes"`
	Buffer         buffer.Stats                 `json:"buffer"`
	RefusalRates   map[topo.Service]float64     `json:"refusalRates"`
	Records        map[topo.GroupID]ticket.Dump `json:"records"`
	TicketsIssued  uint64                       `json:"ticketsIssued"`
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	now := time.Now()
	return dump{
		InFlight:       m.inFlight.Load(),
		Activations:    m.overlay.Overlay().Activations(),
		Servers:        m.ServerStats(),
		EjectedServers: m.servers.EjectedUntil(now),
		EjectedNodes:   m.nodes.EjectedUntil(now),
		Buffer:         m.buffer.Stats(),
		RefusalRates:   m.shed.Rates(now),
		Records:        m.records.dump(),
		TicketsIssued:  m.tickets.Issued(),
	}
}

// ServerStats implements load.StatsSource.
func (m *Module) ServerStats() []load.ServerStats {
	now := time.Now()
	gates := m.gates.Gates()
	all := make([]load.ServerStats, 0, len(gates))
	for server, gate := range gates {
		stats := gate.Stats()
		shed := uint64(0)
		for _, count := range stats.Counts.Refused {
			shed += count
		}
		all = append(all, load.ServerStats{
			Server:     server,
			InFlight:   stats.InFlight,
			Queued:     stats.Queued,
			Limit:      stats.Window,
			PeakFlight: stats.Peak,
			MeanBusy:   stats.MeanBusy,
			Served:     stats.Counts.Served,
			Shed:       shed,
			Overloaded: stats.Counts.Overloaded,
			Failures:   stats.Counts.Failed,
			Ejected:    m.servers.Ejected(now, server),
		})
	}
	return all
}
