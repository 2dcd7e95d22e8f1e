package view

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Servers is the registry of servers as of an offset.
type Servers struct {
	Offset  store.Offset                  `json:"offset"` // after the last record that is included
	Servers map[site.ServerID]site.Server `json:"servers"`
}

// sum returns a number that differs for different registries. Of the warm-up it contains only
// whether the server is cold.
func (s Servers) sum() uint64 {
	var sum serversSum
	for _, server := range s.Servers {
		sum.add(server)
	}
	return sum.total
}

// serversSum adds up hashes of servers. The sum does not depend on their order, so that a
// server can be added or removed without reading the others.
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
	s.text = strconv.AppendBool(s.text, server.IsCold())
	return xxhash.Sum64(s.text)
}

// ServersChange is the difference between a registry and a later one.
type ServersChange struct {
	Put  []site.Server
	Drop []site.ServerID
}

// ChangeTo returns the change to a later registry.
func (s Servers) ChangeTo(later Servers) ServersChange {
	var change ServersChange
	for id, server := range later.Servers {
		known, exists := s.Servers[id]
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

// ServersWith applies a change to the registry of a view and returns the result as of an
// offset. ok is false if its sum is not the given one, because the change starts from
// another registry.
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
