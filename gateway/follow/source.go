package follow

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Relays forward the lessor's data to the nodes of their zone, because a lessor that served
// each of 87 nodes itself filled a link of 10 Mbit/s with every change, three times over
// between zones, and its calls to servers timed out behind this traffic.
const (
	// membersPerRelay limits the number of nodes that follow one relay.
	membersPerRelay = 16
	// smallZone is the number of nodes in the lessor's zone up to which all of them follow
	// the lessor directly, because a relay would only add delay.
	smallZone = 8
)

// source is a node that another node can follow.
type source struct {
	address string
	lessor  bool
}

// sources returns the nodes that a node may follow, in order of preference. They depend
// only on the list of nodes, which all nodes have from the lessor, and on the configured
// seeds while there is no list.
func sources(self view.Member, v *view.View, seeds []string) []source {
	lessor := v.Routes.Lessor
	switch {
	case lessor.Boot != "" && lessor.Boot == self.Boot:
		return nil
	case len(v.Members) == 0:
		return sourcesAtStart(self, v, seeds)
	}
	list := make([]source, 0, 2*len(seeds)+1)
	relays := relaysOf(self.Zone, v)
	rank := slices.IndexFunc(relays, func(m view.Member) bool { return m.Boot == self.Boot })
	switch {
	case lessor.Boot == "":
	case rank >= 0 || len(relays) == 0:
		list = append(list, source{address: lessor.Address, lessor: true})
	}
	if rank >= 0 {
		relays = relays[:rank] // the remaining relays follow this one if the lessor is lost
	}
	for i := range relays {
		list = append(list, source{address: relays[(relayOffset(self)+i)%len(relays)].Address})
	}
	if len(list) > 0 && !list[0].lessor && lessor.Boot != "" {
		list = append(list, source{address: lessor.Address, lessor: true})
	}
	return append(list, firstOfOtherZones(self, v)...)
}

// sourcesAtStart returns the sources of a node that does not know the other nodes yet.
// Seeds report the lessor to the nodes that call them, as relays do.
func sourcesAtStart(self view.Member, v *view.View, seeds []string) []source {
	var list []source
	if lessor := v.Routes.Lessor; lessor.Boot != "" {
		list = append(list, source{address: lessor.Address, lessor: true})
	}
	others := slices.DeleteFunc(slices.Clone(seeds), func(address string) bool { return address == self.Address })
	fromSeeds := make([]source, 0, len(others)+1)
	for i := range others {
		fromSeeds = append(fromSeeds, source{address: others[(relayOffset(self)+i)%len(others)]})
	}
	if slices.Contains(seeds, self.Address) {
		return append(list, fromSeeds...)
	}
	return append(fromSeeds, list...)
}

// firstOfOtherZones returns the node with the highest capacity of each other zone. They are
// the last resort of a node whose own zone has no data.
func firstOfOtherZones(self view.Member, v *view.View) []source {
	byZone := map[string]view.Member{}
	for _, m := range v.Members {
		if m.Zone == self.Zone || m.Boot == v.Routes.Lessor.Boot {
			continue
		}
		if best, exists := byZone[m.Zone]; !exists || compareCapacity(m, best) < 0 {
			byZone[m.Zone] = m
		}
	}
	list := make([]source, 0, len(byZone))
	for _, m := range byZone {
		list = append(list, source{address: m.Address})
	}
	slices.SortFunc(list, func(a, b source) int { return strings.Compare(a.address, b.address) })
	return list
}

// relayOffset distributes the nodes of a zone over its relays.
func relayOffset(self view.Member) int { return int(hashOf(self) & 0xffff) }

func hashOf(self view.Member) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(self.Node)) // never fails
	return hash.Sum32()
}

// relaysOf returns the relays of a zone: its nodes with the highest capacity, except the
// lessor.
func relaysOf(zone string, v *view.View) []view.Member {
	nodes, hasLessor := nodesOfZone(zone, v)
	if hasLessor && len(nodes) <= smallZone {
		return nil
	}
	return nodes[:(len(nodes)+membersPerRelay-1)/membersPerRelay]
}

// nodesOfZone returns the nodes of a zone except the lessor, highest capacity first.
func nodesOfZone(zone string, v *view.View) (nodes []view.Member, hasLessor bool) {
	for _, m := range v.Members {
		switch {
		case m.Zone != zone:
		case m.Boot == v.Routes.Lessor.Boot:
			hasLessor = true
		default:
			nodes = append(nodes, m)
		}
	}
	sortByCapacity(nodes)
	return nodes, hasLessor
}

// sortByCapacity sorts by descending capacity; equal nodes are sorted by name.
func sortByCapacity(list []view.Member) { slices.SortFunc(list, compareCapacity) }

func compareCapacity(a, b view.Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.Node, b.Node))
}

// Rank returns how many nodes, not counting the lessor, have a higher capacity than a node.
// known is false if the list of nodes does not contain it.
func Rank(self view.Member, v *view.View) (rank int, known bool) {
	nodes := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return m.Boot == v.Routes.Lessor.Boot })
	sortByCapacity(nodes)
	rank = slices.IndexFunc(nodes, func(m view.Member) bool { return m.Boot == self.Boot })
	return max(rank, 0), rank >= 0
}

// readPriorityOf returns a node's priority among those that may read the store.
func readPriorityOf(self view.Member, v *view.View, seeds []string) ReadPriority {
	nodes, _ := nodesOfZone(self.Zone, v)
	lessor := v.Routes.Lessor
	p := ReadPriority{
		IsLessor: lessor.Boot != "" && lessor.Boot == self.Boot,
		IsSeed:   slices.Contains(seeds, self.Address),
		HasSeeds: slices.ContainsFunc(seeds, func(address string) bool { return address != self.Address }),
		Rank:     slices.IndexFunc(nodes, func(m view.Member) bool { return m.Boot == self.Boot }),
		Spread:   float64(hashOf(self)>>16) / (1 << 16),
	}
	if lessor.Node == self.Node && lessor.Boot != self.Boot {
		p.Rank = 0 // its previous incarnation was the lessor, and no other node knows that it has ended
	}
	return p
}
