package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	// crossZoneFactor multiplies the load of nodes of other zones: they are chosen once those of
	// the own zone have more than so many times their requests, because bytes between zones are
	// billed.
	crossZoneFactor = 3
	// minCapacity is the assumed least capacity of a node, in processor cores.
	minCapacity = 0.05
	// unknownFactor multiplies the load of nodes that have not lately shown that they reach the
	// service. It is above crossZoneFactor: if the own zone is cut off from the servers, a node of
	// another zone that reaches them is better than the next one of the own zone.
	unknownFactor = 5
	// exploredShare is the share of requests for which nodes that reach the service are not preferred, so
	// that a partitioned node finds more of them and does not load one.
	exploredShare = 0.1
	// loadNoise is the relative width of the random variation of loads, so that nodes do not all
	// choose the same one.
	loadNoise = 0.3
	// maxPauses bounds the pauses that are held.
	maxPauses = 4096
)

// Pauses of a node after it did not serve a request.
const (
	// UnreachablePause is the pause for requests to the same servers, after the node could not
	// connect to them either.
	UnreachablePause = 500 * time.Millisecond
	// PartitionedPause is the pause for requests to the same service, after the node reached none of
	// its servers. Such a node finds out by itself when it reaches them again, and others may be
	// chosen meanwhile.
	PartitionedPause = 2 * time.Second
	// OverloadedPause is the pause for requests to the same servers, after the node had no room.
	OverloadedPause = 200 * time.Millisecond
	// UnavailablePause is the pause for all requests, after the node refused to serve any or did
	// not answer.
	UnavailablePause = time.Second
	// UnsupportedPause is the pause for all requests, after a node did not know the path.
	UnsupportedPause = 10 * time.Second
)

// Destination is the servers that may run a request: one of a service, or all of it if Server is
// empty. The zero value is all servers of the site.
type Destination struct {
	Service site.ServiceName
	Server  site.ServerID
}

// Peers holds what a node knows of the other nodes to which it forwards requests. It is safe for
// concurrent use.
type Peers struct {
	mu       sync.Mutex
	inFlight map[string]int // by boot
	paused   map[pauseKey]time.Time
	reaching reaching
}

// pauseKey identifies a pause of one incarnation of a node for the requests to some servers.
type pauseKey struct {
	boot string
	to   Destination
}

// NewPeers returns Peers without requests in flight.
func NewPeers() *Peers {
	return &Peers{inFlight: map[string]int{}, paused: map[pauseKey]time.Time{}, reaching: reaching{}}
}

// Pick returns the node that takes a request: the one with the fewest requests of this node for its
// capacity, if possible one that has shown that it reaches the service. Incarnations in tried are not
// chosen.
func (p *Peers) Pick(self view.Member, members []view.Member, to Destination, tried []string, now time.Time) (view.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	partitioned := p.partitionedByZone(members, to.Service, now)
	explores := len(tried) == 0 && rand.Float64() < exploredShare
	var best view.Member
	bestLoad := math.Inf(1)
	for _, m := range members {
		if m.Boot == self.Boot || m.Address == "" || slices.Contains(tried, m.Boot) || p.isPaused(m.Boot, to, now) {
			continue
		}
		load := p.loadOf(m, to.Service, explores, now)
		if !p.reaching.has(m.Boot, to.Service, now) {
			load *= float64(1 + partitioned[m.Zone])
		}
		if m.Zone != self.Zone {
			load *= crossZoneFactor
		}
		if load < bestLoad {
			best, bestLoad = m, load
		}
	}
	return best, best.Boot != ""
}

// loadOf returns the load of a node for its capacity, as Pick compares it: higher for a node that is
// not known to reach a service or, if the node explores, for one that is. p.mu must be held.
func (p *Peers) loadOf(m view.Member, service site.ServiceName, explores bool, now time.Time) float64 {
	load := float64(p.inFlight[m.Boot]+1) / max(m.Capacity, minCapacity) * (1 + loadNoise*rand.Float64())
	if isKnown := p.reaching.has(m.Boot, service, now); isKnown == explores {
		load *= unknownFactor
	}
	return load
}

// partitionedByZone returns how many nodes of each zone are paused for all requests to a service: the
// others of their zone may be partitioned too.
func (p *Peers) partitionedByZone(members []view.Member, service site.ServiceName, now time.Time) map[string]int {
	counts := map[string]int{}
	for _, m := range members {
		if now.Before(p.paused[pauseKey{m.Boot, Destination{Service: service}}]) {
			counts[m.Zone]++
		}
	}
	return counts
}

// isPaused reports whether a node gets no request to some servers now. p.mu must be held.
func (p *Peers) isPaused(boot string, to Destination, now time.Time) bool {
	for _, wider := range []Destination{to, {Service: to.Service}, {}} {
		if now.Before(p.paused[pauseKey{boot, wider}]) {
			return true
		}
	}
	return false
}

// Begin records that a request is forwarded to a node.
func (p *Peers) Begin(boot string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[boot]++
}

// End records the end of a forwarded request.
func (p *Peers) End(boot string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[boot]--; p.inFlight[boot] <= 0 {
		delete(p.inFlight, boot)
	}
}

// Pause makes Pick pass over an incarnation of a node until a time, for requests to some servers.
func (p *Peers) Pause(boot string, to Destination, until, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.paused) >= maxPauses {
		for key, end := range p.paused {
			if !now.Before(end) {
				delete(p.paused, key)
			}
		}
	}
	if len(p.paused) < maxPauses {
		p.paused[pauseKey{boot, to}] = until
	}
}

// RecordServed records that a node has forwarded the answer of a server of a service.
func (p *Peers) RecordServed(boot string, service site.ServiceName, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reaching.note(boot, service, observed, now)
}

// RecordPartitioned records that a node reaches no server of a service, and that it names another
// one that does; empty: none.
func (p *Peers) RecordPartitioned(boot string, service site.ServiceName, alternative string, now time.Time) {
	p.Pause(boot, Destination{Service: service}, now.Add(PartitionedPause), now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reaching.forget(boot, service)
	if alternative != "" && !p.isPaused(alternative, Destination{Service: service}, now) {
		p.reaching.note(alternative, service, reported, now)
	}
}

// Alternative returns a node that has lately answered a request of this node to a service; empty:
// there is none.
func (p *Peers) Alternative(service site.ServiceName, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reaching.anyObserved(service, now)
}
