package limit

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Shares of the requests that a node may hold.
const (
	// nestedReserveDivisor is the part, one in so many, kept for requests that come from a
	// backend server: those that wait for them hold the rest.
	nestedReserveDivisor = 8
	// freeSlotFactor is how many times the free places one service may hold. One
	// service alone thus fills freeShare/(freeShare+1) of the node, and leaves
	// room for others to begin.
	freeSlotFactor = 4
)

// Node bounds the requests that one node holds, of all services. A service that
// holds much leaves room for the others. Methods may be called concurrently.
type Node struct {
	maxRequests int

	mu        sync.Mutex
	inFlight  int
	byService map[topo.Service]int
}

// NewNode returns the bound for a node that may hold most requests.
func NewNode(maxRequests int) *Node {
	return &Node{maxRequests: maxRequests, byService: map[topo.Service]int{}}
}

// Enter takes a place for a request that came through hop services; false means
// that it is to be refused.
func (n *Node) Enter(service topo.Service, hop int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hasRoom(service, hop) {
		return false
	}
	n.inFlight++
	n.byService[service]++
	return true
}

func (n *Node) hasRoom(service topo.Service, hop int) bool {
	most := n.maxRequests
	if hop == 0 {
		most -= n.maxRequests / nestedReserveDivisor
	}
	free := most - n.inFlight
	if free <= 0 {
		return false
	}
	return n.byService[service] < freeSlotFactor*free
}

// Leave gives a place back.
func (n *Node) Leave(service topo.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight--
	n.byService[service]--
	if n.byService[service] == 0 {
		delete(n.byService, service)
	}
}

// InFlight is how many requests the node holds.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inFlight
}
