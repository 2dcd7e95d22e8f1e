package follow

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Relays carry what the lessor tells to the nodes of their zone. They answer
// sites of many nodes: a lessor that told each of 87 nodes itself filled a link
// of 10 Mbit/s with every change, three times over between zones, and its calls to
// servers timed out behind that.
const (
	// membersPerRelay bounds the nodes that follow one relay.
	membersPerRelay = 16
	// smallZone is the number of nodes in the lessor's zone up to which they all
	// follow the lessor itself: a relay would only cost time.
	smallZone = 8
)

// source is a node that another one follows.
type source struct {
	address string
	lessor  bool
}

// sources returns the nodes that a node may follow, the one it should follow
// first. They depend only on the list of nodes, which all have from the lessor.
func sources(self view.Member, v *view.View) []source {
	lessor := v.Routes.Lessor
	if lessor.Boot == "" || lessor.Boot == self.Boot {
		return nil
	}
	fromLessor := source{address: lessor.Address, lessor: true}
	relays := relaysOf(self.Zone, v)
	if slices.ContainsFunc(relays, func(m view.Member) bool { return m.Boot == self.Boot }) {
		return []source{fromLessor}
	}
	list := make([]source, 0, len(relays)+1)
	for i := range relays {
		list = append(list, source{address: relays[(turnOf(self)+i)%len(relays)].Address})
	}
	return append(list, fromLessor)
}

// turnOf spreads the nodes of a zone over its relays.
func turnOf(self view.Member) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(self.Node)) // never fails
	return int(hash.Sum32() & 0xffff)
}

// relaysOf returns the relays of a zone: its strongest nodes but the lessor.
func relaysOf(zone string, v *view.View) []view.Member {
	var nodes []view.Member
	hasLessor := false
	for _, m := range v.Members {
		switch {
		case m.Zone != zone:
		case m.Boot == v.Routes.Lessor.Boot:
			hasLessor = true
		default:
			nodes = append(nodes, m)
		}
	}
	if hasLessor && len(nodes) <= smallZone {
		return nil
	}
	sortByStrength(nodes)
	return nodes[:(len(nodes)+membersPerRelay-1)/membersPerRelay]
}

// sortByStrength puts the strongest nodes first; equal ones go by name.
func sortByStrength(list []view.Member) {
	slices.SortFunc(list, func(a, b view.Member) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), strings.Compare(a.Node, b.Node))
	})
}

// Rank returns how many nodes but the lessor are stronger than a node; known is
// false if the list of nodes does not hold it.
func Rank(self view.Member, v *view.View) (rank int, known bool) {
	nodes := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return m.Boot == v.Routes.Lessor.Boot })
	sortByStrength(nodes)
	rank = slices.IndexFunc(nodes, func(m view.Member) bool { return m.Boot == self.Boot })
	return max(rank, 0), rank >= 0
}
