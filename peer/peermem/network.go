// Package peermem is an in-memory implementation of package peer: a Network of
// nodes that call each other, with configurable faults on each link. It is for
// tests and experiments in one process. It works under testing/synctest because
// it uses the clock only for timers, and its random source is seeded.
package peermem

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// DefaultTimeout is the timeout of calls whose context has no deadline.
const DefaultTimeout = time.Second

// Fault describes the faults of one direction of a link between two nodes. They
// apply to the requests of the sending node and to its responses to requests of
// the receiving node. The zero value is a healthy link without delay.
type Fault struct {
	Cut       bool          // messages are lost
	Refuse    bool          // new calls are refused, proven not sent
	Delay     time.Duration // delay of every message
	Jitter    time.Duration // upper bound of the additional random delay
	Duplicate float64       // probability that a request arrives twice
	// Reorder is the probability that a message is delayed further by HoldBack,
	// so that later messages overtake it.
	Reorder  float64
	HoldBack time.Duration
}

// Traffic counts the messages of one kind of call.
type Traffic struct {
	Requests  int
	Responses int
	Bytes     int // size of the encoded messages, without transport framing
}

// Network connects nodes. Its methods are safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	random  *rand.Rand
	nodes   map[topo.NodeID]*Node
	faults  map[direction]Fault
	stalled map[connection]bool
	traffic map[peer.Kind]Traffic
	closed  chan struct{}
}

type direction struct{ from, to topo.NodeID }

type connection struct {
	direction
	kind peer.Kind
}

// New returns a network without nodes. The seed determines its random faults.
func New(seed uint64) *Network {
	return &Network{
		random:  rand.New(rand.NewPCG(seed, 0)),
		nodes:   map[topo.NodeID]*Node{},
		faults:  map[direction]Fault{},
		stalled: map[connection]bool{},
		traffic: map[peer.Kind]Traffic{},
		closed:  make(chan struct{}),
	}
}

// Close drops every message in flight.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.closed:
	default:
		close(n.closed)
	}
}

// Join adds an incarnation of a node, which replaces an earlier incarnation with
// the same ID, and returns its Caller. The handlers may be set until the first
// call.
func (n *Network) Join(sender *bspb.Sender, handlers *peer.Handlers) *Node {
	joined := &Node{
		network:  n,
		id:       topo.NodeID(sender.Node),
		zone:     topo.Zone(sender.Zone),
		sender:   sender,
		handlers: handlers,
		left:     make(chan struct{}),
		running:  make(chan struct{}),
	}
	close(joined.running)
	n.Leave(joined.id)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[joined.id] = joined
	return joined
}

// Leave removes a node: calls to it are refused, and its outstanding responses
// are lost.
func (n *Network) Leave(id topo.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node, exists := n.nodes[id]; exists {
		close(node.left)
		delete(n.nodes, id)
	}
}

// Set sets the faults of messages from one node to another.
func (n *Network) Set(from, to topo.NodeID, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[direction{from, to}] = fault
}

// Cut drops every message between two nodes, in both directions.
func (n *Network) Cut(a, b topo.NodeID) {
	n.Set(a, b, Fault{Cut: true})
	n.Set(b, a, Fault{Cut: true})
}

// CutZone drops every message between the nodes of a zone and all other nodes.
func (n *Network) CutZone(zone topo.Zone) {
	for _, pair := range n.pairs() {
		if (pair[0].zone == zone) != (pair[1].zone == zone) {
			n.Set(pair[0].id, pair[1].id, Fault{Cut: true})
		}
	}
}

// Isolate drops every message between one node and all other nodes.
func (n *Network) Isolate(id topo.NodeID) {
	for _, pair := range n.pairs() {
		if pair[0].id == id || pair[1].id == id {
			n.Set(pair[0].id, pair[1].id, Fault{Cut: true})
		}
	}
}

// Heal removes the faults of every link and replaces stalled connections.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	clear(n.stalled)
}

// Stall stalls the open connections from one node to another permanently. The
// next call of each kind gets no response; the call after that opens a new
// connection, which works.
func (n *Network) Stall(from, to topo.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, kind := range peer.Kinds() {
		n.stalled[connection{direction{from, to}, kind}] = true
	}
}

// Pause delays every message to and from a node until Resume, as if its process
// were suspended: no message is lost, but all arrive late.
func (n *Network) Pause(id topo.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node, exists := n.nodes[id]; exists && !node.paused {
		node.paused = true
		node.running = make(chan struct{})
	}
}

// Resume ends a Pause.
func (n *Network) Resume(id topo.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node, exists := n.nodes[id]; exists && node.paused {
		node.paused = false
		close(node.running)
	}
}

// Traffic returns the message counts so far by kind of call.
func (n *Network) Traffic() map[peer.Kind]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	counted := make(map[peer.Kind]Traffic, len(n.traffic))
	for kind, t := range n.traffic {
		counted[kind] = t
	}
	return counted
}

func (n *Network) countRequest(kind peer.Kind, m proto.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.traffic[kind]
	t.Requests++
	t.Bytes += proto.Size(m)
	n.traffic[kind] = t
}

func (n *Network) countResponse(kind peer.Kind, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.traffic[kind]
	t.Responses++
	t.Bytes += bytes
	n.traffic[kind] = t
}

// pairs returns every ordered pair of nodes.
func (n *Network) pairs() [][2]*Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var pairs [][2]*Node
	for _, a := range n.nodes {
		for _, b := range n.nodes {
			if a != b {
				pairs = append(pairs, [2]*Node{a, b})
			}
		}
	}
	return pairs
}

// others returns all nodes except self, those of its zone first, then by ID.
func (n *Network) others(self *Node) []topo.NodeID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []*Node
	for id, node := range n.nodes {
		if id != self.id {
			others = append(others, node)
		}
	}
	slices.SortFunc(others, func(a, b *Node) int {
		if (a.zone == self.zone) != (b.zone == self.zone) {
			if a.zone == self.zone {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.id), string(b.id))
	})
	ids := make([]topo.NodeID, len(others))
	for i, node := range others {
		ids[i] = node.id
	}
	return ids
}
