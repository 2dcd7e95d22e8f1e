package limit

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Shares of the requests that a node may hold.
const (
	// reserve is the part, one in so many, kept for requests that come from a
	// backend server: those that wait for them hold the rest.
	reserve = 8
	// freeShare is how many times the free places one service may hold. One
	// service alone thus fills freeShare/(freeShare+1) of the node, and leaves
	// room for others to begin.
	freeShare = 4
)

// Node bounds the requests that one node holds, of all services. A service that
// holds much leaves room for the others. Methods may be called concurrently.
type Node struct {
	most int

	mu        sync.Mutex
	total     int
	byService map[topo.Service]int
}

// NewNode returns the bound for a node that may hold most requests.
func NewNode(most int) *Node {
	return &Node{most: most, byService: map[topo.Service]int{}}
}

// Enter takes a place for a request that came through hop services; false means
// that it is to be refused.
func (n *Node) Enter(service topo.Service, hop int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.room(service, hop) {
		return false
	}
	n.total++
	n.byService[service]++
	return true
}

func (n *Node) room(service topo.Service, hop int) bool {
	most := n.most
	if hop == 0 {
		most -= n.most / reserve
	}
	free := most - n.total
	if free <= 0 {
		return false
	}
	return n.byService[service] < freeShare*free
}

// Leave gives a place back.
func (n *Node) Leave(service topo.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.total--
	n.byService[service]--
	if n.byService[service] == 0 {
		delete(n.byService, service)
	}
}

// InFlight is how many requests the node holds.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.total
}
