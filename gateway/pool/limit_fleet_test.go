package pool_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// fleet is a site whose nodes join, leave and restart while its servers name limits. Each node has a list of
// members of its own, which it receives late, and forwards by that list.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	servers   []site.Server
	limits    map[site.ServerName]float64   // negative: the server names none
	removed   map[site.ServerName]bool      // not in the registry at present
	downUntil map[site.ServerName]time.Time // after a restart
	isCut     bool                          // no server can be reached
	nodes     []*fleetNode
	joined    int
	members   []view.Member // as the lessor publishes them; nil: unknown, after the loss of all nodes
	running   []fleetRequest
	arrivals  map[site.ServerName][]fleetArrival
	refused   int
	registry  store.Offset // of the registry
	hub       *view.State  // of the lessor, with which all nodes exchange limits
	exchange  time.Time    // next time at which they do
}

type fleetNode struct {
	member    view.Member
	pool      *pool.Pool
	state     *view.State   // what it knows of the servers and their limits
	limits    view.Limits   // that the pool has
	members   []view.Member // as this node knows them
	next      []view.Member // received at receiveAt
	receiveAt time.Time
	// answeredAt is when the node first passed on an answer that names the limit of a server.
	answeredAt map[site.ServerName]time.Time
	registerAt time.Time // when it receives the registry after a restart of servers; zero: it has it
	isGone     bool
}

type fleetRequest struct {
	node   *fleetNode
	server site.ServerID
	endAt  time.Time
	isCut  bool // it does not reach the server, or the server ends before it is answered
}

type fleetArrival struct {
	at   time.Time
	node *fleetNode
	// isNotified reports that the node knew of the server's limit.
	isNotified bool
}

const (
	fleetStep        = 5 * time.Millisecond
	fleetServiceTime = 100 * time.Millisecond
	// fleetListLag bounds the age of a node's list of members.
	fleetListLag = 1500 * time.Millisecond
	// fleetReaction is the time after a first answer with a limit within which its node need not keep it.
	fleetReaction = 500 * time.Millisecond
	// fleetChangesAfter is when changes begin.
	fleetChangesAfter = 4 * time.Second
	// mostChanges bounds the nodes that join or leave a large site.
	mostChanges = 16
	// fleetStable is the time after a limit was named within which it need not be kept.
	fleetStable = 3 * time.Second
)

func newFleet(nodes int, limits []float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, limits: map[site.ServerName]float64{}, removed: map[site.ServerName]bool{}, downUntil: map[site.ServerName]time.Time{}, arrivals: map[site.ServerName][]fleetArrival{}}
	for i, limit := range limits {
		server := site.Server{ID: serverID(i), Service: "s", Slots: 6, Zone: string(rune('a' + i%3))}
		f.servers = append(f.servers, server)
		f.limits[server.ID.Name()] = limit
	}
	f.hub = view.NewState()
	f.register(f.hub)
	for range nodes {
		f.join()
	}
	f.publish()
	for _, n := range f.nodes {
		f.receive(n)
	}
	return f
}

// join adds a node.
func (f *fleet) join() {
	f.joined++
	zone := string(rune('a' + f.joined%3))
	f.start(view.Member{Node: fmt.Sprint("node-", f.joined), Zone: zone})
}

// start adds a new incarnation of a node, which receives the list of members within fleetListLag.
func (f *fleet) start(member view.Member) {
	n := &fleetNode{member: member, answeredAt: map[site.ServerName]time.Time{}}
	n.member.Boot = fmt.Sprint(f.now.UnixNano())
	n.pool = pool.New(n.member.Zone, 0, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	n.state = view.NewState()
	f.register(n.state)
	f.nodes = append(f.nodes, n)
	f.update(n)
	f.send(n)
}

// stop ends a node.
func (f *fleet) stop(n *fleetNode) {
	n.isGone = true
	f.nodes = slices.DeleteFunc(f.nodes, func(other *fleetNode) bool { return other == n })
}

// publish makes the lessor publish the present nodes.
func (f *fleet) publish() {
	f.members = nil
	for _, n := range f.nodes {
		f.members = append(f.members, n.member)
	}
	for _, n := range f.nodes {
		f.send(n)
	}
}

// send sends the list of members to a node.
func (f *fleet) send(n *fleetNode) {
	if f.members == nil || n.next != nil {
		return
	}
	n.next = f.members
	n.receiveAt = f.now.Add(time.Duration(f.random.Int64N(int64(fleetListLag))))
}

func (f *fleet) receive(n *fleetNode) {
	n.members, n.next = f.members, nil
	f.update(n)
}

// update applies what a node knows to its pool.
func (f *fleet) update(n *fleetNode) {
	v := n.state.Now()
	n.limits = v.Limits
	n.pool.SetRateLimits(pool.RateLimits{
		Named: func(id site.ServerID) (site.NamedLimit, bool) { return v.Limits.Of("s", id) },
		IsCounter: func(server site.Server, count int) bool {
			return slices.Contains(ratelimit.Counters(server, n.members, count), n.member)
		},
	})
	n.pool.Update(v.ServersOf("s"), len(n.members), f.now)
	f.admitWaiting(n)
}

// register makes a node adopt the present registry.
func (f *fleet) register(state *view.State) {
	servers := map[site.ServerID]site.Server{}
	for _, s := range f.servers {
		if !f.removed[s.ID.Name()] {
			servers[s.ID] = s
		}
	}
	state.MergeServers(view.Servers{Offset: f.registry + 1, Servers: servers})
}

// remove takes the entries of every second server out of the registry, or puts them back.
func (f *fleet) remove(isRemoved bool) {
	for i := 0; i < len(f.servers); i += 2 {
		f.removed[f.servers[i].ID.Name()] = isRemoved
	}
	f.registry++
	f.register(f.hub)
	for _, n := range f.nodes {
		f.register(n.state)
		f.update(n)
	}
}

// fleetDown is for how long a server that restarts answers nothing, and fleetRegistryLag bounds the time after which a
// node knows of the new incarnation.
const (
	fleetDown        = 200 * time.Millisecond
	fleetRegistryLag = time.Second
)

// restartServers restarts all servers under their names.
func (f *fleet) restartServers() {
	for i := range f.servers {
		name := f.servers[i].ID.Name()
		f.servers[i].ID = site.IncarnationID(name, f.now)
		f.downUntil[name] = f.now.Add(fleetDown)
	}
	for i := range f.running {
		f.running[i].isCut = true
	}
	f.registry++
	f.register(f.hub)
	for _, n := range f.nodes {
		n.registerAt = f.now.Add(time.Duration(f.random.Int64N(int64(fleetRegistryLag))))
	}
}

// exchangeLimits makes the nodes exchange limits every half a second.
func (f *fleet) exchangeLimits() {
	if f.now.Before(f.exchange) {
		return
	}
	f.exchange = f.now.Add(500 * time.Millisecond)
	for _, n := range f.nodes {
		f.hub.MergeLimits(n.state.Now().Limits.Valid(f.now))
	}
	for _, n := range f.nodes {
		n.state.MergeLimits(f.hub.Now().Limits.Valid(f.now))
	}
}

// play sends requests at a rate to random nodes for a time, and calls move at each step.
func (f *fleet) play(length time.Duration, rate float64, move func(since time.Duration)) {
	begin, due := f.now, 0.0
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		if move != nil {
			move(f.now.Sub(begin))
		}
		f.endRequests()
		f.exchangeLimits()
		for _, n := range slices.Clone(f.nodes) {
			if n.next != nil && !f.now.Before(n.receiveAt) {
				f.receive(n)
			}
			if !n.registerAt.IsZero() && !f.now.Before(n.registerAt) {
				n.registerAt = time.Time{}
				f.register(n.state)
				f.update(n)
			}
			if n.limits.Serial != n.state.Now().Limits.Serial {
				f.update(n)
			}
			if at, waits := n.pool.NextAdmitTime(f.now.Add(-fleetStep)); waits && !at.After(f.now) {
				f.admitWaiting(n)
			}
		}
		for due += rate * fleetStep.Seconds(); due >= 1; due-- {
			if len(f.nodes) > 0 {
				f.submit(f.nodes[f.random.IntN(len(f.nodes))])
			}
		}
	}
}

func (f *fleet) submit(n *fleetNode) {
	w := &pool.Waiter{ArrivedAt: f.now, Target: f.now.Add(time.Second), Deadline: f.now.Add(2 * time.Second)}
	admission, refusal := n.pool.Submit(w, f.now)
	if refusal != nil && refusal.Reason == pool.Limited {
		if n = f.counterFor(n, refusal.CountedServer); n == nil {
			f.refused++
			return
		}
		w.CountedServer = refusal.CountedServer
		admission, refusal = n.pool.Submit(w, f.now)
	}
	switch {
	case admission != nil:
		f.admit(n, []pool.Admission{*admission})
	case refusal != nil:
		f.refused++
	}
}

// counterFor returns a node that counts the requests to a server by the list of another node, or nil.
func (f *fleet) counterFor(n *fleetNode, id site.ServerID) *fleetNode {
	server := f.servers[slices.IndexFunc(f.servers, func(s site.Server) bool { return s.ID.Name() == id.Name() })]
	counters := ratelimit.Counters(server, n.members, n.pool.Counters(id, f.now))
	present := slices.DeleteFunc(slices.Clone(f.nodes), func(other *fleetNode) bool {
		return other == n || !slices.Contains(counters, other.member)
	})
	if len(present) == 0 {
		return nil
	}
	return present[f.random.IntN(len(present))]
}

// admitWaiting sends the waiting requests that may be sent now, and refuses those that would wait too long.
func (f *fleet) admitWaiting(n *fleetNode) {
	f.admit(n, n.pool.Admit(f.now))
	f.refused += len(n.pool.Evict(f.now))
}

func (f *fleet) admit(n *fleetNode, admissions []pool.Admission) {
	for _, a := range admissions {
		name := a.Server.ID.Name()
		isCut := f.isCut || f.now.Before(f.downUntil[name])
		f.running = append(f.running, fleetRequest{n, a.Server.ID, f.now.Add(fleetServiceTime), isCut})
		if isCut {
			continue
		}
		_, isNotified := n.limits.Of("s", a.Server.ID)
		f.arrivals[name] = append(f.arrivals[name], fleetArrival{f.now, n, isNotified})
	}
}

func (f *fleet) endRequests() {
	ended := f.running
	f.running = nil
	for _, r := range ended {
		switch {
		case r.endAt.After(f.now):
			f.running = append(f.running, r)
		case r.node.isGone:
		case r.isCut:
			f.admit(r.node, r.node.pool.Done(r.server, pool.Outcome{Took: fleetServiceTime, Failed: true, NotReached: true}, f.now))
		default:
			name := r.server.Name()
			if _, hasAnswered := r.node.answeredAt[name]; !hasAnswered {
				r.node.answeredAt[name] = f.now
			}
			limit := f.limits[name]
			r.node.state.MergeLimits(map[site.ServerID]site.NamedLimit{r.server: {Rate: max(limit, 0), IsNamed: limit >= 0, At: f.now}})
			f.admit(r.node, r.node.pool.Done(r.server, pool.Outcome{Took: fleetServiceTime, Load: &site.Load{Running: 1, Slots: 6}}, f.now))
		}
	}
}

// most returns the most requests that reached a server in a span from nodes that had passed on its limit, or
// had been notified of it by another node.
func (f *fleet) most(name site.ServerName) int {
	var times []time.Time
	for _, a := range f.arrivals[name] {
		answeredAt, hasAnswered := a.node.answeredAt[name]
		isCounted := a.isNotified || hasAnswered && a.at.Sub(answeredAt) >= fleetReaction
		if isCounted && a.at.Sub(start) >= fleetStable {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitedSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// replace replaces the oldest node by a new one.
func (f *fleet) replace() {
	f.join()
	f.stop(f.nodes[0])
	f.publish()
}

// every returns a move that does something a number of times from fleetChangesAfter on.
func (f *fleet) every(interval time.Duration, times int, do func()) func(time.Duration) {
	done := 0
	return func(since time.Duration) {
		if done < times && since >= fleetChangesAfter+time.Duration(done)*interval {
			done++
			do()
		}
	}
}

// fleetMove is something that happens to a site. It returns what is called at each step.
type fleetMove func(f *fleet) func(since time.Duration)

// fleetSeeds is the number of seeds played with 12 nodes.
var fleetSeeds = flag.Int("pool.seeds", 5, "seeds of each site of 12 nodes whose servers name limits")

// checkFleets plays sites of several sizes and checks that no server gets more than its limit allows.
func checkFleets(t *testing.T, move fleetMove) {
	for nodes, seeds := range map[int]int{1: 3, 12: *fleetSeeds, 68: 1, 295: 1} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			for seed := range seeds {
				f := newFleet(nodes, []float64{0, 0.4, 1.1, 5, 8, 13.8, 40}, uint64(seed))
				f.play(12*time.Second, 300, move(f))
				for name, limit := range f.limits {
					g.Expect(f.most(name)).To(gomega.BeNumerically("<=", allowed(limit)), "seed %d, limit %g", seed, limit)
				}
			}
		})
	}
}

// Guards against servers that get more than the limit that they name while nodes join, leave and restart: each
// that began to count did so with a full budget.
func TestLimitsHoldWhileTheNodesThatCountChange(t *testing.T) {
	for name, move := range map[string]fleetMove{
		"each node is replaced by another": func(f *fleet) func(time.Duration) {
			return f.every(200*time.Millisecond, min(len(f.nodes), mostChanges), f.replace)
		},
		"each node is replaced twice": func(f *fleet) func(time.Duration) {
			return f.every(200*time.Millisecond, min(2*len(f.nodes), 2*mostChanges), f.replace)
		},
		"each node restarts": func(f *fleet) func(time.Duration) {
			return f.every(400*time.Millisecond, min(len(f.nodes), mostChanges), func() {
				n := f.nodes[0]
				f.stop(n)
				f.publish()
				f.start(n.member)
				f.publish()
			})
		},
		"as many nodes join": func(f *fleet) func(time.Duration) {
			return f.every(100*time.Millisecond, min(len(f.nodes), mostChanges), func() {
				f.join()
				f.publish()
			})
		},
		"most nodes leave": func(f *fleet) func(time.Duration) {
			return f.every(100*time.Millisecond, min(len(f.nodes)*3/4, mostChanges), func() {
				f.stop(f.nodes[f.random.IntN(len(f.nodes))])
				f.publish()
			})
		},
	} {
		t.Run(name, func(t *testing.T) { checkFleets(t, move) })
	}
}

// Guards against servers that get more than the limit that they name after all nodes have restarted: until a
// node knew the others it assumed a number of nodes.
func TestLimitsHoldWhileTheOtherNodesAreUnknown(t *testing.T) {
	checkFleets(t, func(f *fleet) func(time.Duration) {
		return f.every(time.Hour, 1, func() {
			members := f.members
			f.members = nil
			for _, n := range slices.Clone(f.nodes) {
				f.stop(n)
			}
			for _, m := range members {
				f.start(m)
			}
		})
	})
}

// Guards against servers that get more than the limit that they name when their entries in the registry, which
// had expired, are back: all nodes had dropped the limits.
func TestLimitsHoldAfterEntriesWereMissing(t *testing.T) {
	checkFleets(t, func(f *fleet) func(time.Duration) {
		isRemoved := false
		return f.every(3*time.Second, 4, func() {
			isRemoved = !isRemoved
			f.remove(isRemoved)
		})
	})
}

// fleetQuiet is longer than nodes wait for an answer that confirms a limit.
const fleetQuiet = 20 * time.Second

// Guards against servers that get more than the limit that they name when requests are back after a quiet time: all
// nodes had forgotten the limit, since no answer had confirmed it.
func TestLimitsHoldAfterTimesWithoutAnswers(t *testing.T) {
	for name, quiet := range map[string]func(f *fleet){
		"no requests":                 func(f *fleet) { f.play(fleetQuiet, 0, nil) },
		"servers are cut":             func(f *fleet) { f.isCut = true; f.play(fleetQuiet, 300, nil); f.isCut = false },
		"servers are cut, for longer": func(f *fleet) { f.isCut = true; f.play(4*fleetQuiet, 300, nil); f.isCut = false },
	} {
		t.Run(name, func(t *testing.T) {
			for nodes, seeds := range map[int]int{1: 3, 12: *fleetSeeds, 68: 1, 295: 1} {
				t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					for seed := range seeds {
						f := newFleet(nodes, []float64{0, 0.4, 1.1, 5, 8, 13.8, 40}, uint64(seed))
						f.play(8*time.Second, 300, nil)
						quiet(f)
						f.play(8*time.Second, 300, nil)
						for name, limit := range f.limits {
							g.Expect(f.most(name)).To(gomega.BeNumerically("<=", allowed(limit)), "seed %d, limit %g", seed, limit)
						}
					}
				})
			}
		})
	}
}
