package lessor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/topo"
)

// walk lets the members follow their own plans over failing links, with
// messages lost, held back and repeated, records of unknown outcome, processes
// that pause and restart, and clocks that diverge within the bound.
type walk struct {
	*world
	t           *rapid.T
	random      *rand.Rand
	failedLinks map[string]bool // by the names of their ends
	paused      [nodeCount]bool
	holders     map[topo.Fence]topo.BootID
	highest     topo.Fence // highest fence under which the shard was served
	served      int
}

const (
	walkTTL = 12 * timeUnit
	// walkDrift bounds how far the drawn clocks diverge.
	walkDrift     = 20_000
	maxRateOffset = 9_000
)

func newWalk(t *rapid.T, off rules) *walk {
	b := &bounds{
		ttl:    walkTTL,
		limit:  rapid.SampledFrom([]time.Duration{0, 2 * walkTTL, 8 * walkTTL}).Draw(t, "limit"),
		claims: 1000, assigns: 1000, relay: true, followPlans: true, drift: walkDrift, rules: off,
	}
	rate := rapid.Int64Range(million-maxRateOffset, million+maxRateOffset)
	for i := range b.nodeRates {
		b.nodeRates[i] = rate.Draw(t, "node's clock")
	}
	for i := range b.serverRates {
		b.serverRates[i] = rate.Draw(t, "server's clock")
	}
	seed := rapid.Uint64().Draw(t, "seed")
	return &walk{
		world:       newSearchWorld(b),
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 0)),
		failedLinks: map[string]bool{},
		holders:     map[topo.Fence]topo.BootID{},
	}
}

// chance returns true with probability n/most.
func (w *walk) chance(n, most int) bool { return w.random.IntN(most) < n }

// faults lists the kinds of faults that a walk draws; repeated entries are
// drawn more often.
var faults = []string{"log", "log", "peer", "peer", "peer", "server", "server", "server", "pause", "server restarts", "node restarts", "heal", "heal"}

// injectFault injects or heals one fault.
func (w *walk) injectFault() {
	kind := rapid.SampledFrom(faults).Draw(w.t, "fault")
	node := rapid.IntRange(0, nodeCount-1).Draw(w.t, "node")
	server := rapid.IntRange(0, len(serverNames)-1).Draw(w.t, "server")
	switch kind {
	case "log":
		w.toggle(fmt.Sprint("log ", node))
	case "peer":
		w.toggle(fmt.Sprint("peer ", node, (node+1)%nodeCount))
	case "server":
		w.toggle(fmt.Sprint("server ", node, server))
	case "pause":
		w.paused[node] = !w.paused[node]
	case "server restarts":
		w.restartServer(server)
	case "node restarts":
		w.restartNode(node)
		w.log.next++ // it joins the cluster
		w.log.boots[node] = w.nodes[node].boots
	case "heal":
		clear(w.failedLinks)
		w.paused = [nodeCount]bool{}
	}
}

func (w *walk) toggle(link string) { w.failedLinks[link] = !w.failedLinks[link] }

func (w *walk) peersReach(a, b int) bool {
	return !w.failedLinks[fmt.Sprint("peer ", a, b)] && !w.failedLinks[fmt.Sprint("peer ", b, a)]
}

// tick advances the time by one unit and lets every running node execute its
// due actions.
func (w *walk) tick() {
	w.now += timeUnit
	if w.heldMessage != nil && w.chance(1, 4) {
		h := w.heldMessage
		if h.kind == "record" || w.chance(1, 2) {
			w.heldMessage = nil
		}
		w.deliverHeld(h)
		w.check()
	}
	for _, node := range w.random.Perm(nodeCount) {
		if w.paused[node] {
			continue
		}
		w.readState(node)
		w.member(node).Plan(w.clock(node))
		for _, action := range w.member(node).Plan(w.clock(node)) {
			w.execute(node, action)
			w.check()
		}
	}
}

func (w *walk) readState(node int) {
	w.member(node).LogFailing(w.clock(node), w.failedLinks[fmt.Sprint("log ", node)])
	switch {
	case !w.failedLinks[fmt.Sprint("log ", node)] && w.chance(3, 4):
		w.readLog(node, true)
	case w.chance(1, 8):
		w.readLog(node, false)
	}
}

// drawFailure draws how a call over a working or failed link ends.
func (w *walk) drawFailure(works bool) string {
	switch {
	case !works:
		return "request lost"
	case w.chance(1, 12):
		return "reply lost"
	case w.heldMessage == nil && w.chance(1, 12):
		return "request held"
	case w.heldMessage == nil && w.chance(1, 24):
		return "reply held"
	}
	return ""
}

func (w *walk) execute(node int, action Action) {
	m := w.member(node)
	now := w.clock(node)
	switch a := action.(type) {
	case Renew:
		server := serverIndex(a.Server)
		w.renewOnce(node, server, w.drawFailure(!w.failedLinks[fmt.Sprint("server ", node, server)]))
	case Acknowledge:
		server := serverIndex(a.Server)
		w.acknowledge(node, server, w.drawFailure(!w.failedLinks[fmt.Sprint("server ", node, server)]))
	case SendHeartbeat:
		to, exists := w.standbyOf(node)
		w.heartbeat(node, w.drawFailure(exists && w.peersReach(node, to)))
	case Ask:
		if to := slices.Index(nodeNames[:], a.Node); !w.paused[to] && w.peersReach(node, to) {
			w.ask(node, a.Node, w.drawFailure(true))
		}
	case Probe:
		w.probe(node, a.Node)
	case ClaimTerm:
		w.write(node, func() (record, bool) {
			claim, _, allowed := m.BeginClaim(now)
			return record{node: node, claim: &claim, self: m.self()}, allowed
		})
	case Submit:
		w.write(node, func() (record, bool) {
			submission, number, due := m.BeginSubmit(now)
			w.nodes[node].number = number
			return record{node: node, submit: &submission, self: m.self()}, due
		})
	case TakeOverOffLog:
		m.BeginTakeOverOffLog(now)
	case Activate:
		m.BeginActivate(now, a.Shard)
	case ChangeMode:
		m.BeginChangeMode(a.To)
	}
}

func serverIndex(id topo.ServerID) int {
	if id == serverNames[0] {
		return 0
	}
	return 1
}

func (w *walk) probe(node int, id topo.NodeID) {
	m := w.member(node)
	m.BeginProbe(w.clock(node), id)
	for i := range w.nodes {
		if nodeNames[i] == id && !w.paused[i] && w.peersReach(node, i) {
			m.ProbeAnswered(w.clock(node), w.incarnation(i))
			return
		}
	}
	m.ProbeFailed(id)
}

// write appends a record, drops it, or holds it back.
func (w *walk) write(node int, begin func() (record, bool)) {
	r, due := begin()
	if !due {
		return
	}
	lost := w.failedLinks[fmt.Sprint("log ", node)]
	switch {
	case !lost && w.heldMessage == nil && w.chance(1, 6):
		w.heldMessage = &message{kind: "record", node: node, record: r}
	case !lost:
		w.deliver(r)
	case r.claim != nil:
		w.member(node).ClaimFailed(w.clock(node), w.member(node).claim.number, w.chance(1, 3))
	default:
		w.member(node).SubmitFailed(w.clock(node), w.nodes[node].number, w.chance(1, 3))
	}
}

// check verifies after every step that there are no two owners, that no fence is
// held by two incarnations of servers, and that the fence under which the shard is
// served never decreases.
func (w *walk) check() {
	if w.owners() > 1 {
		w.t.Fatal("two owners")
	}
	w.checkFences()
	for i := range w.servers {
		boot := w.servers[i].holder.Boot()
		for _, held := range w.servers[i].holder.Grants() {
			if first, known := w.holders[held.Fence]; known && first != boot {
				w.t.Fatalf("fence %v held by %s and by %s", held.Fence, first, boot)
			}
			w.holders[held.Fence] = boot
		}
	}
}

func (w *walk) checkFences() {
	for i := range w.servers {
		holder := w.servers[i].holder
		if !holder.Valid(w.serverNow(i)) {
			continue
		}
		for _, held := range holder.Grants() {
			if held.Fence.Less(w.highest) {
				w.t.Fatalf("%s serves under fence %v after %v", holder.Boot(), held.Fence, w.highest)
			}
			w.highest = held.Fence
		}
	}
}

// walkTicks is the length of a walk, in units of time.
const walkTicks = 30 * int(walkTTL/timeUnit)

func (w *walk) run() {
	for range walkTicks {
		if w.chance(1, 10) {
			w.injectFault()
		}
		w.tick()
		w.served += w.owners()
	}
}

func TestRandomWalksNeverReachTwoOwners(t *testing.T) {
	served, passed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk(t, rules{})
		w.run()
		served += w.served
		passed += walkTicks
	})
	t.Logf("shard served for %d of %d time units", served, passed)
	if served < passed/4 {
		t.Error("shard served for less than a quarter of the time")
	}
}
