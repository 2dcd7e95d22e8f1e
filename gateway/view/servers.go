package view

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Servers is the register of servers as of an offset.
type Servers struct {
	Offset  store.Offset                  `json:"offset"` // after the last record that it holds
	Servers map[site.ServerID]site.Server `json:"servers"`
}

// sum returns a number that differs for registers that differ. The warm-up is left
// out: it counts down with every write of a server, which is no change.
func (s Servers) sum() uint64 {
	var sum serversSum
	for _, server := range s.Servers {
		sum.add(server)
	}
	return sum.total
}

// serversSum adds up what servers are; their order does not matter, so that a server can
// be put or dropped without a look at the others.
type serversSum struct {
	total uint64
	text  []byte
}

func (s *serversSum) add(server site.Server)  { s.total += s.of(server) }
func (s *serversSum) drop(server site.Server) { s.total -= s.of(server) }

func (s *serversSum) of(server site.Server) uint64 {
	s.text = append(s.text[:0], server.ID...)
	for _, field := range []string{string(server.Service), server.Address, server.Zone, strconv.Itoa(server.Slots)} {
		s.text = append(append(s.text, 0), field...)
	}
	s.text = strconv.AppendBool(s.text, server.Draining)
	s.text = strconv.AppendBool(s.text, server.ClockSetBack)
	return xxhash.Sum64(s.text)
}

// ServersChange leads from one register to a later one.
type ServersChange struct {
	Put  []site.Server
	Drop []site.ServerID
}

// ChangeTo returns what leads to a later register.
func (s Servers) ChangeTo(later Servers) ServersChange {
	var change ServersChange
	for id, server := range later.Servers {
		known, exists := s.Servers[id]
		known.WarmUp = server.WarmUp
		if !exists || known != server {
			change.Put = append(change.Put, server)
		}
	}
	for id := range s.Servers {
		if _, exists := later.Servers[id]; !exists {
			change.Drop = append(change.Drop, id)
		}
	}
	return change
}

// ServersWith returns the register of a view after a change, as of an offset, if its sum
// is the one given; ok is false if the change began with another register.
func (v *View) ServersWith(change ServersChange, offset store.Offset, sum uint64) (changed Servers, ok bool) {
	servers := maps.Clone(v.Servers.Servers)
	if servers == nil {
		servers = map[site.ServerID]site.Server{}
	}
	sums := serversSum{total: v.serversSum}
	for _, id := range change.Drop {
		if known, exists := servers[id]; exists {
			sums.drop(known)
			delete(servers, id)
		}
	}
	for _, server := range change.Put {
		if known, exists := servers[server.ID]; exists {
			sums.drop(known)
		}
		sums.add(server)
		servers[server.ID] = server
	}
	return Servers{Offset: offset, Servers: servers}, sums.total == sum
}
