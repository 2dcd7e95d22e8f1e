package limit

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Shares of the requests that a node may hold at once.
const (
	// nestedReserveDivisor determines the reserve for requests that come from a
	// backend server: 1/nestedReserveDivisor of the slots. The requests that wait
	// for these nested requests may hold all other slots.
	nestedReserveDivisor = 8
	// freeSlotFactor limits the slots of one service to this multiple of the free
	// slots. One service alone therefore fills at most
	// freeSlotFactor/(freeSlotFactor+1) of the node, so that other services can
	// still start requests.
	freeSlotFactor = 4
)

// Node limits the number of requests of all services that one node holds. A
// service with many requests cannot use up the slots of the others. Methods may
// be called concurrently.
type Node struct {
	maxRequests int

	mu        sync.Mutex
	inFlight  int
	byService map[topo.Service]int
}

// NewNode returns the limit for a node that may hold maxRequests requests.
func NewNode(maxRequests int) *Node {
	return &Node{maxRequests: maxRequests, byService: map[topo.Service]int{}}
}

// Acquire takes a slot for a request that came through hop services. It returns
// false if the request must be refused.
func (n *Node) Acquire(service topo.Service, hop int) bool {
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

// Release releases a slot.
func (n *Node) Release(service topo.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight--
	n.byService[service]--
	if n.byService[service] == 0 {
		delete(n.byService, service)
	}
}

// InFlight returns the number of requests that the node holds.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inFlight
}
