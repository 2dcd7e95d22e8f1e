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
	var sum uint64
	var text []byte
	for _, server := range s.Servers {
		text = append(text[:0], server.ID...)
		for _, field := range []string{string(server.Service), server.Address, server.Zone, strconv.Itoa(server.Slots)} {
			text = append(append(text, 0), field...)
		}
		text = strconv.AppendBool(text, server.Draining)
		text = strconv.AppendBool(text, server.ClockSetBack)
		sum += xxhash.Sum64(text) // the order does not matter
	}
	return sum
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

// With returns the register after a change, as of an offset, if its sum is the one
// given; ok is false if the change began with another register.
func (s Servers) With(change ServersChange, offset store.Offset, sum uint64) (changed Servers, ok bool) {
	servers := maps.Clone(s.Servers)
	if servers == nil {
		servers = map[site.ServerID]site.Server{}
	}
	for _, id := range change.Drop {
		delete(servers, id)
	}
	for _, server := range change.Put {
		servers[server.ID] = server
	}
	changed = Servers{Offset: offset, Servers: servers}
	return changed, changed.sum() == sum
}
