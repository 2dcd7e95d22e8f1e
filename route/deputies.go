package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Deputy is a node that may send to a server past its lessor, so many requests
// at once.
type Deputy struct {
	Node   topo.NodeID
	Places int
}

// connectionsPerPlace is how many of a server's connections there must be for
// each place that deputies have: the rest are its lessor's and standby lessor's.
const connectionsPerPlace = 4

// singles is how many deputies besides the standby lessor have one place each.
const singles = 2

// Deputies lists the nodes that may send to a decision's server while its lessor
// cannot be reached. Their places together are at most the server's concurrency
// limit, however many nodes there are. The standby lessor has all but a few of
// them: one queue wastes the fewest places, and it is the one likely to lead
// next. The few are for when it is lost too; they go to nodes chosen by
// rendezvous hashing of node and server, so that one node more or less changes
// one of them at most. Without a standby lessor all places go to such nodes.
func Deputies(view *state.View, d Decision) []Deputy {
	places := deputyPlaces(d.Service)
	group, _ := view.Group(d.Group)
	standby, alive := view.Node(group.Standby)
	if !alive || places == 0 || standby.ID == d.Lessor || view.NodeLost(standby.ID) {
		return firstNodes(view, d, places, "")
	}
	others := min(singles, places-1)
	list := []Deputy{{Node: standby.ID, Places: places - others}}
	return append(list, firstNodes(view, d, others, standby.ID)...)
}

// firstNodes lists the first nodes in the rendezvous order of a decision's server,
// one place each, without its lessor and without the one that is left out.
func firstNodes(view *state.View, d Decision, most int, without topo.NodeID) []Deputy {
	if most == 0 {
		return nil
	}
	var first []ranked
	for id := range view.Nodes() {
		if id == d.Lessor || id == without || view.NodeLost(id) {
			continue
		}
		first = keepFirst(first, ranked{node: id, hash: deputyHash(id, d.Server)}, most)
	}
	deputies := make([]Deputy, len(first))
	for i, r := range first {
		deputies[i] = Deputy{Node: r.node, Places: 1}
	}
	return deputies
}

// deputyPlaces is how many requests all deputies together may have at a server.
func deputyPlaces(service *siteconfig.Service) int {
	places := max(service.ConcurrencyPerServer, 1)
	if service.ConnectionsPerServer > 0 {
		places = min(places, service.ConnectionsPerServer/connectionsPerPlace)
	}
	return places
}

// ranked is a node's place in the rendezvous order of one server.
type ranked struct {
	node topo.NodeID
	hash uint64
}

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(r.hash, other.hash), cmp.Compare(r.node, other.node))
}

// keepFirst inserts a node into the most first ones, which are in order.
func keepFirst(first []ranked, added ranked, most int) []ranked {
	at, _ := slices.BinarySearchFunc(first, added, ranked.compare)
	if at >= most {
		return first
	}
	first = slices.Insert(first, at, added)
	return first[:min(len(first), most)]
}

func deputyHash(node topo.NodeID, server topo.ServerID) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + string(server))
}

// PastLessor turns a forward whose lessor cannot be reached into the way past
// it: directly, if this node is a deputy, and else through a deputy, drawn by its
// places among those that are not out; uniform returns a random number in [0,1).
// The decision is unchanged if no deputy is left, or the servers do not check
// fencing tokens: then the lessor alone may send.
func (d Decision) PastLessor(view *state.View, self Self, out func(topo.NodeID) bool, uniform func() float64) Decision {
	if d.Path != PathForward || (d.Service.Keyed && !d.Service.ChecksFencing) {
		return d
	}
	deputies := Deputies(view, d)
	for _, deputy := range deputies {
		if deputy.Node == self.Node {
			d.Path, d.Places = PathDirect, deputy.Places
			return d
		}
	}
	deputies = slices.DeleteFunc(deputies, func(deputy Deputy) bool { return out(deputy.Node) })
	if len(deputies) == 0 {
		return d
	}
	d.Path, d.Deputy = PathDeputy, draw(deputies, uniform()).Node
	return d
}

// draw chooses a deputy by its places.
func draw(deputies []Deputy, uniform float64) Deputy {
	places := 0
	for _, deputy := range deputies {
		places += deputy.Places
	}
	left := int(uniform * float64(places))
	for _, deputy := range deputies {
		if left -= deputy.Places; left < 0 {
			return deputy
		}
	}
	return deputies[len(deputies)-1]
}

// AsDeputy decides for a request that another node sent here because it could
// not reach a lessor. It is false unless that is the lessor of the decision and
// this node a deputy.
func (d Decision) AsDeputy(view *state.View, self Self, past topo.NodeID) (Decision, bool) {
	if past == "" || past != d.Lessor {
		return d, false
	}
	nobody := func(topo.NodeID) bool { return true }
	d = d.PastLessor(view, self, nobody, func() float64 { return 0 })
	return d, d.Path == PathDirect
}

// Next is the node that a request is forwarded to; empty for none.
func (d Decision) Next() topo.NodeID {
	switch d.Path {
	case PathForward:
		return d.Lessor
	case PathDeputy:
		return d.Deputy
	}
	return ""
}
