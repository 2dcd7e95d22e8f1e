package ranges

import (
	"hash/maphash"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// searcher explores the states.
type searcher struct {
	rules     rules
	seeds     [2]maphash.Seed
	seen      map[[2]uint64]struct{} // two hashes of each state, which take a tenth of its memory
	todo      []searchState
	allocator *Allocator
	fault     string
}

// search returns a fault if there is one, the number of states, and whether all states
// within the bounds were explored.
func search(bounds searchBounds, r rules, limit int) (fault string, states int, complete bool) {
	s := &searcher{
		rules:     r,
		seeds:     [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		seen:      map[[2]uint64]struct{}{},
		allocator: newSearchAllocator(),
	}
	first := searchState{remaining: bounds}
	first.table.end = 1
	first.table.server = 1   // the range of an unresponsive owner moves to the first server
	first.remaining.claims++ // the first lessor has no previous lessor
	s.claim(first, 0)
	for len(s.todo) > 0 && len(s.seen) < limit {
		state := s.todo[len(s.todo)-1]
		s.todo = s.todo[:len(s.todo)-1]
		s.expand(state)
		if s.fault != "" {
			return s.fault, len(s.seen), false
		}
	}
	return "", len(s.seen), len(s.todo) == 0
}

// add adds a state that was reached.
func (s *searcher) add(state searchState) {
	state.normalize()
	if state.servers[0].held > 0 && state.servers[1].held > 0 {
		s.fault = "two owners"
	}
	hash := [2]uint64{maphash.Comparable(s.seeds[0], state), maphash.Comparable(s.seeds[1], state)}
	if _, known := s.seen[hash]; known {
		return
	}
	s.seen[hash] = struct{}{}
	s.todo = append(s.todo, state)
}

// expand adds every state that can follow.
func (s *searcher) expand(state searchState) {
	for node := range int8(len(state.nodes)) {
		if !state.nodes[node].isLessor {
			if state.remaining.claims > 0 {
				s.claim(state, node)
			}
			continue
		}
		s.append(state, node)
		s.resign(state, node)
		s.call(state, node)
		s.move(state, node)
		s.expireRestarts(state, node)
		s.handOff(state, node)
	}
	for i := range state.calls {
		if state.calls[i].exists {
			s.deliver(state, i)
		}
	}
	for name := range state.servers {
		s.start(state, name)
	}
	s.tick(state)
}

// claim makes a node the lessor.
func (s *searcher) claim(state searchState, node int8) {
	state.remaining.claims--
	state.recordAppend(node)
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {
		{Span: Span{To: LastKey}, Server: searchIncarnation(state.table.server, state.table.incarnation)},
	}}}
	fence := state.table.end
	previous := searchTimes.PreviousHold()
	uncertain := previous
	switch {
	case s.rules.noPreviousWait:
		previous = searchTimes.maxTimeInForce(searchHold)
	case state.table.resigned:
		previous, uncertain = absolute(state.table.held).Sub(searchStart), absolute(state.table.uncertain).Sub(searchStart)
	}
	alloc := NewAllocator(table.Refenced(Lessor{}, Fence(fence)), searchTimes, previous, searchStart)
	alloc.LimitUncertain(uncertain, searchStart)
	alloc.incarnations.observe(state.site().Servers, searchStart)
	n := &state.nodes[node]
	n.isLessor, n.claim = true, fence
	n.save(alloc)
	state.table.end++
	s.add(state)
}

// handOff lets a new lessor receive the report of the previous lessor from the other node,
// which then grants nothing any more.
func (s *searcher) handOff(state searchState, node int8) {
	n, previous := &state.nodes[node], &state.nodes[1-node]
	if !previous.isLessor || previous.claim >= n.claim {
		return
	}
	alloc := s.allocator
	previous.load(alloc)
	list := alloc.Remaining(searchStart)
	if s.rules.noHandOffReport {
		list = nil
	}
	*previous = searchNode{}
	n.load(alloc)
	alloc.LimitPrevious(list, searchStart)
	n.save(alloc)
	s.add(state)
}

// recordAppend records that a node appends.
func (s *searchState) recordAppend(node int8) {
	s.table.resigned, s.table.held, s.table.uncertain = false, 0, 0
	for i := range s.nodes {
		s.nodes[i].atEnd = int8(i) == node
	}
	s.nodes[node].confirmed = 0
}

// append lets a lessor plan and append, or confirm its lease, or discover that another node
// has claimed it.
func (s *searcher) append(state searchState, node int8) {
	n := &state.nodes[node]
	if !n.atEnd {
		*n = searchNode{}
		s.add(state)
		return
	}
	alloc := s.allocator
	l := n.load(alloc)
	view := state.site()
	s.rules.drop(alloc, l, view.Servers, searchStart)
	change := alloc.Plan(view, Fence(state.table.end), searchStart)
	if change != nil {
		alloc.Appended(change)
		owner, _ := change.Table.Owner(worldService, 0)
		state.table.server, state.table.incarnation = searchIncarnationOf(owner.Server)
		state.table.end++
	}
	state.recordAppend(node)
	n.save(alloc)
	s.add(state)
}

// resign lets a lessor resign.
func (s *searcher) resign(state searchState, node int8) {
	n := &state.nodes[node]
	if state.remaining.resigns == 0 || !n.atEnd {
		return
	}
	state.remaining.resigns--
	alloc := s.allocator
	n.load(alloc)
	held, uncertain := alloc.HeldFor(searchStart), alloc.UncertainFor(searchStart)
	state.recordAppend(node)
	*n = searchNode{}
	state.table.resigned = true
	state.table.held, state.table.uncertain = relative(searchStart.Add(held)), relative(searchStart.Add(uncertain))
	s.add(state)
}

// call lets a lessor send a call that is due.
func (s *searcher) call(state searchState, node int8) {
	if state.calls[maxSearchCalls-1].exists {
		return
	}
	n := &state.nodes[node]
	alloc := s.allocator
	n.load(alloc)
	view := state.site()
	confirmedAt := searchStart.Add(-time.Duration(n.confirmed) * time.Second)
	if s.rules.noLeaseCheck {
		confirmedAt = searchStart
	}
	calls := alloc.Calls(view.Servers, Lease{ConfirmedAt: confirmedAt}, searchStart)
	if len(calls) == 0 {
		return
	}
	server, run := searchIncarnationOf(calls[0].Server)
	state.calls[maxSearchCalls-1] = searchCall{exists: true, node: node, claim: n.claim, server: server, incarnation: run, fence: n.fence, release: calls[0].Release}
	n.save(alloc)
	s.add(state)
}

// move lets a lessor start to move the range to the other server.
func (s *searcher) move(state searchState, node int8) {
	n := &state.nodes[node]
	alloc := s.allocator
	l := n.load(alloc)
	s.rules.drop(alloc, l, state.site().Servers, searchStart)
	if state.remaining.moves == 0 || !l.canRelease(searchStart) {
		return
	}
	state.remaining.moves--
	other := 1 - n.server
	l.next = searchIncarnation(other, state.servers[other].registered)
	alloc.setPhase(l, releasing)
	n.save(alloc)
	s.add(state)
}

// expireRestarts skips the time after which restarts do not indicate a crash loop any more.
func (s *searcher) expireRestarts(state searchState, node int8) {
	if state.nodes[node].restarts != [2]int8{} {
		state.nodes[node].restarts = [2]int8{}
		s.add(state)
	}
}

// deliver explores the outcomes of a call: it is lost, waits at the server, or is executed
// there, with or without a response to the sender.
func (s *searcher) deliver(state searchState, i int) {
	c := state.calls[i]
	if c.waits {
		state.calls[i] = searchCall{}
		s.execute(&state, c, c.age)
		s.add(state)
		return
	}
	if !c.abandoned && state.isBehind(c) {
		s.abandon(state, i)
		return // it leaves the sender's link after the calls that were abandoned before
	}
	lost := state
	lost.calls[i] = searchCall{}
	s.finish(&lost, c, Result{Failed: true, Outcome: InFlight})
	s.add(lost)

	waiting := state
	waiting.calls[i] = searchCall{exists: true, waits: true, server: c.server, fence: c.fence, release: c.release}
	s.finish(&waiting, c, Result{Failed: true, Outcome: Arrived})
	s.add(waiting)

	unanswered := state
	unanswered.calls[i] = searchCall{}
	s.execute(&unanswered, c, 0)
	s.finish(&unanswered, c, Result{Failed: true, Outcome: Arrived})
	s.add(unanswered)
	if c.abandoned {
		return
	}
	s.abandon(state, i)

	state.calls[i] = searchCall{}
	fenced := s.execute(&state, c, 0)
	s.finish(&state, c, Result{Fenced: fenced})
	s.add(state)
}

// abandon lets the sender of a call reset its connection while its bytes are in flight.
func (s *searcher) abandon(state searchState, i int) {
	c := state.calls[i]
	state.calls[i].abandoned = true
	state.calls[i].age = 0
	s.finish(&state, c, Result{Failed: true, Outcome: InFlight})
	s.add(state)
}

// isBehind reports whether bytes that the same sender wrote before a call are still in
// flight.
func (s *searchState) isBehind(c searchCall) bool {
	for _, other := range s.calls {
		if other.exists && other.abandoned && other.node == c.node {
			return true
		}
	}
	return false
}

// execute executes a call that arrived age seconds ago.
func (s *searcher) execute(state *searchState, c searchCall, age int8) (fenced bool) {
	server := &state.servers[c.server]
	if c.release {
		if server.highest <= c.fence {
			server.held = 0
		}
		return false
	}
	if server.highest > c.fence {
		return true
	}
	server.highest = c.fence
	hold := time.Duration(float64(searchHold)*(1+clockDrift)) - time.Duration(age)*time.Second
	server.held = int16(max(hold, 0).Milliseconds())
	if server.held == 0 {
		return false
	}
	server.highestHeld = max(server.highestHeld, c.fence)
	if state.servers[1-c.server].highestHeld >= c.fence {
		s.fault = "a fence is not above that of the other server"
	}
	return false
}

// finish reports the result of a call to its sender.
func (s *searcher) finish(state *searchState, c searchCall, result Result) {
	n := &state.nodes[c.node]
	if c.abandoned || !n.isLessor || n.claim != c.claim {
		return
	}
	alloc := s.allocator
	l := n.load(alloc)
	call := Call{Service: worldService, Server: searchIncarnation(c.server, c.incarnation), Release: c.release, SentAt: searchStart.Add(-time.Duration(c.age) * time.Second), lease: l}
	call.Grant = Grant{Assignment: l.Assignment, Hold: searchHold}
	call.Grant.Fence = Fence(c.fence)
	alloc.Done(call, result, searchStart)
	n.save(alloc)
}

// start explores a restart of a server, and its registration after one.
func (s *searcher) start(state searchState, name int) {
	server := &state.servers[name]
	if server.registered != server.incarnation {
		shown := state
		shown.servers[name].registered = server.incarnation
		s.add(shown)
	}
	if state.remaining.restarts == 0 {
		return
	}
	state.remaining.restarts--
	server.incarnation++
	server.highest, server.held = 0, 0
	s.add(state)
}

// tick advances the time by a second. Calls must be delivered within their timeout.
func (s *searcher) tick(state searchState) {
	for i := range state.calls {
		c := &state.calls[i]
		switch {
		case !c.exists:
		case c.abandoned && time.Duration(c.age)*time.Second >= searchLinkDelay:
			return
		case !c.waits && !c.abandoned && time.Duration(c.age)*time.Second >= searchTimeout:
			return
		case c.waits && c.age >= maxSearchWait:
			*c = searchCall{} // a grant from it would have expired
		default:
			c.age++
		}
	}
	for i := range state.nodes {
		n := &state.nodes[i]
		n.held, n.uncertain = subtractSecond(n.held), subtractSecond(n.uncertain)
		n.previous, n.previousUncertain = subtractSecond(n.previous), subtractSecond(n.previousUncertain)
		n.callUntil, n.abandonedUntil = subtractSecond(n.callUntil), subtractSecond(n.abandonedUntil)
		if n.isLessor {
			n.confirmed = min(n.confirmed+1, int8(searchGrantPeriod/time.Second))
		}
		state.servers[i].held = subtractSecond(state.servers[i].held)
	}
	s.add(state)
}

func subtractSecond(milliseconds int16) int16 { return max(milliseconds-1000, 0) }
