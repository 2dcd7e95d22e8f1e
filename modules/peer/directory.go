package peer

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// directory maps the other nodes to their addresses. They come from the state,
// or, for nodes that the state lacks, from seeds that reported their node ID.
type directory struct {
	self   kernel.Identity
	source state.Source // nil before the module starts, and if none is provided

	mu    sync.Mutex
	seeds map[topo.NodeID]string // discovered by Status calls
	// order caches the nodes of the view orderOf in calling order.
	orderOf *state.View
	order   []topo.NodeID
}

// address returns the address of a node's peer listener.
func (d *directory) address(id topo.NodeID) (string, bool) {
	if view := d.view(); view != nil {
		if node, exists := view.Node(id); exists && node.PeerAddress != "" {
			return node.PeerAddress, true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	address, resolved := d.seeds[id]
	return address, resolved
}

// known lists the nodes that have an address: own zone first, then own region,
// then the rest. The order within each is specific to this node, so that the
// calls of different nodes spread over their peers.
func (d *directory) known() []topo.NodeID {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.view()
	if d.order == nil || view != d.orderOf {
		d.order = d.sorted(view)
		d.orderOf = view
	}
	return append([]topo.NodeID(nil), d.order...)
}

func (d *directory) view() *state.View {
	if d.source == nil {
		return nil
	}
	return d.source.View()
}

type candidate struct {
	id       topo.NodeID
	distance int
	weight   uint64
}

func (d *directory) sorted(view *state.View) []topo.NodeID {
	var nodes []candidate
	listed := map[topo.NodeID]bool{d.self.Node: true}
	if view != nil {
		for id, node := range view.Nodes() {
			if !listed[id] {
				listed[id] = true
				nodes = append(nodes, candidate{id, d.distance(node), d.weight(id)})
			}
		}
	}
	for id := range d.seeds {
		if !listed[id] {
			nodes = append(nodes, candidate{id, distanceUnknown, d.weight(id)})
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].before(nodes[j]) })
	ids := make([]topo.NodeID, len(nodes))
	for i := range nodes {
		ids[i] = nodes[i].id
	}
	return ids
}

// Distances of nodes from this one.
const (
	distanceZone = iota
	distanceRegion
	distanceElsewhere
	distanceUnknown // known by seed only
)

func (d *directory) distance(node state.Node) int {
	switch {
	case node.Zone == d.self.Zone:
		return distanceZone
	case node.Region == d.self.Region:
		return distanceRegion
	}
	return distanceElsewhere
}

func (d *directory) weight(id topo.NodeID) uint64 {
	return xxhash.Sum64String(string(d.self.Node) + "\x00" + string(id))
}

func (c candidate) before(other candidate) bool {
	if c.distance != other.distance {
		return c.distance < other.distance
	}
	if c.weight != other.weight {
		return c.weight < other.weight
	}
	return c.id < other.id
}

// addSeed records the node that responded at a seed address.
func (d *directory) addSeed(id topo.NodeID, address string) {
	if id == d.self.Node {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeAddress(address)
	d.seeds[id] = address
	d.order = nil
}

// removeSeed removes the node recorded for a seed address, after another node
// responded there.
func (d *directory) removeSeed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeAddress(address)
	d.order = nil
}

func (d *directory) removeAddress(address string) {
	for id, at := range d.seeds {
		if at == address {
			delete(d.seeds, id)
		}
	}
}

// resolvedSeeds maps the seed addresses that reported a node ID to that ID.
func (d *directory) resolvedSeeds() map[string]topo.NodeID {
	d.mu.Lock()
	defer d.mu.Unlock()
	byAddress := make(map[string]topo.NodeID, len(d.seeds))
	for id, address := range d.seeds {
		byAddress[address] = id
	}
	return byAddress
}
