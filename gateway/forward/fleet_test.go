package forward_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

const (
	// fleetForwards is how often a node forwards a request.
	fleetForwards = 6
	// fleetRate is how many requests a second a node of a fleet has for the service.
	fleetRate = 5
	// fleetReaction is the time after a partition from which callers must be served, and
	// fleetMeasured how long requests are counted after that.
	fleetReaction = 3 * time.Second
	fleetMeasured = 3 * time.Second
)

// fleet is a site of which some nodes are partitioned from the servers of a service. Time is simulated.
type fleet struct {
	members []view.Member
	isCut   map[string]bool // by boot
	peers   map[string]*forward.Peers
	now     time.Time
	hops    int
}

// newFleet returns a fleet of three zones.
func newFleet(nodes int, isCut func(i int, zone string) bool) *fleet {
	f := &fleet{isCut: map[string]bool{}, peers: map[string]*forward.Peers{}, now: time.Now()}
	for i := range nodes {
		zone := string(rune('a' + i%3))
		m := view.Member{Node: strconv.Itoa(i), Boot: strconv.Itoa(i), Zone: zone, Address: "a:" + strconv.Itoa(i), Capacity: 0.3}
		f.members = append(f.members, m)
		f.isCut[m.Boot] = isCut(i, zone)
		f.peers[m.Boot] = forward.NewPeers()
	}
	return f
}

// request reports whether a request at a partitioned node is served, and counts its hops.
func (f *fleet) request(self view.Member, owner int) bool {
	p := f.peers[self.Boot]
	to := forward.Destination{Service: "s", Server: site.ServerID("owner" + strconv.Itoa(owner))}
	var tried []string
	for range fleetForwards {
		peer, found := p.Pick(self, f.members, to, tried, f.now)
		if !found {
			return false
		}
		f.hops++
		tried = append(tried, peer.Boot)
		if !f.isCut[peer.Boot] {
			p.RecordServed(peer.Boot, "s", f.now)
			return true
		}
		p.RecordPartitioned(peer.Boot, "s", f.peers[peer.Boot].Alternative("s", f.now), f.now)
	}
	return false
}

// play sends requests to all partitioned nodes for a time, and returns how many were sent and failed.
func (f *fleet) play(length time.Duration, random *rand.Rand) (sent, failed int) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, m := range f.members {
			if !f.isCut[m.Boot] || random.Float64() >= fleetRate*step.Seconds() {
				continue
			}
			sent++
			if !f.request(m, random.IntN(300)) {
				failed++
			}
		}
	}
	return sent, failed
}

// Guards against partitioned nodes that forward to other partitioned nodes, the more of them there
// are: of first tries, at most one in fifty fails, of all nodes and from the reaction time on.
func TestPartitionedNodesFindTheOthersInLargeFleets(t *testing.T) {
	isZoneCut := func(_ int, zone string) bool { return zone == "a" }
	for _, nodes := range []int{12, 68, 295} {
		for name, isCut := range map[string]func(int, string) bool{
			"a zone":       isZoneCut,
			"seven in ten": func(i int, _ string) bool { return i%10 < 7 },
			"all but one":  func(i int, _ string) bool { return i > 0 },
		} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d nodes, %s, seed %d", nodes, name, seed), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					f := newFleet(nodes, isCut)
					random := rand.New(rand.NewPCG(seed, 1))
					firstSent, firstFailed := f.play(fleetReaction, random)
					f.hops = 0
					sent, failed := f.play(fleetMeasured, random)
					t.Logf("before: %d of %d failed; after: %d of %d, %.2f hops", firstFailed, firstSent, failed, sent, float64(f.hops)/float64(sent))
					all := int(float64(nodes*fleetRate) * fleetMeasured.Seconds())
					g.Expect(failed).To(gomega.BeNumerically("<=", 10+all/50))
				})
			}
		}
	}
}
