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
	seen      map[[2]uint64]struct{} // two hashes of each state, which takes a tenth of its room
	todo      []searchState
	allocator *Allocator
	fault     string
}

// search returns a fault if there is one, and the number of states.
func search(bounds searchBounds, r rules, most int) (fault string, states int, complete bool) {
	s := &searcher{
		rules:     r,
		seeds:     [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		seen:      map[[2]uint64]struct{}{},
		allocator: newSearchAllocator(),
	}
	first := searchState{left: bounds}
	first.table.end = 1
	first.table.server = 1 // what a silent owner loses goes to the first server
	first.left.claims++    // the first one has no former lessor
	s.claim(first, 0)
	for len(s.todo) > 0 && len(s.seen) < most {
		state := s.todo[len(s.todo)-1]
		s.todo = s.todo[:len(s.todo)-1]
		s.expand(state)
		if s.fault != "" {
			return s.fault, len(s.seen), false
		}
	}
	return "", len(s.seen), len(s.todo) == 0
}

// add takes a state that was reached.
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
			if state.left.claims > 0 {
				s.claim(state, node)
			}
			continue
		}
		s.append(state, node)
		s.resign(state, node)
		s.call(state, node)
		s.move(state, node)
		s.forget(state, node)
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
	state.left.claims--
	state.appendBy(node)
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {
		{Span: Span{To: LastKey}, Server: searchRun(state.table.server, state.table.run)},
	}}}
	fence := state.table.end
	former := searchTimes.FormerHold()
	doubt := former
	switch {
	case s.rules.noFormer:
		former = searchTimes.lapse(searchHold)
	case state.table.resigned:
		former, doubt = absolute(state.table.held).Sub(searchStart), absolute(state.table.doubt).Sub(searchStart)
	}
	k := NewAllocator(table.Refenced(Lessor{}, Fence(fence)), searchTimes, former, searchStart)
	k.LimitDoubt(doubt, searchStart)
	k.runs.observe(state.site().Servers, searchStart)
	n := &state.nodes[node]
	n.isLessor, n.claim = true, fence
	n.keep(k)
	state.table.end++
	s.add(state)
}

// handOff has a new lessor hear from the other node, if that is the one before it, what it
// granted. That one grants nothing any more.
func (s *searcher) handOff(state searchState, node int8) {
	n, former := &state.nodes[node], &state.nodes[1-node]
	if !former.isLessor || former.claim >= n.claim {
		return
	}
	k := s.allocator
	former.allocator(k)
	list := k.Remaining(searchStart)
	if s.rules.noReport {
		list = nil
	}
	*former = searchNode{}
	n.allocator(k)
	k.LimitFormer(list, searchStart)
	n.keep(k)
	s.add(state)
}

// appendBy notes that a node appends.
func (s *searchState) appendBy(node int8) {
	s.table.resigned, s.table.held, s.table.doubt = false, 0, 0
	for i := range s.nodes {
		s.nodes[i].atEnd = int8(i) == node
	}
	s.nodes[node].confirmed = 0
}

// append has a lessor plan and append, or confirm its lease, or learn that there
// is another one.
func (s *searcher) append(state searchState, node int8) {
	n := &state.nodes[node]
	if !n.atEnd {
		*n = searchNode{}
		s.add(state)
		return
	}
	k := s.allocator
	l := n.allocator(k)
	view := state.site()
	s.rules.drop(k, l, view.Servers, searchStart)
	change := k.Plan(view, Fence(state.table.end), searchStart)
	if change != nil {
		k.Appended(change)
		owner, _ := change.Table.Owner(worldService, 0)
		state.table.server, state.table.run = searchRunOf(owner.Server)
		state.table.end++
	}
	state.appendBy(node)
	n.keep(k)
	s.add(state)
}

// resign has a lessor give its lease up.
func (s *searcher) resign(state searchState, node int8) {
	n := &state.nodes[node]
	if state.left.resigns == 0 || !n.atEnd {
		return
	}
	state.left.resigns--
	k := s.allocator
	n.allocator(k)
	held, doubt := k.Held(searchStart), k.Doubt(searchStart)
	state.appendBy(node)
	*n = searchNode{}
	state.table.resigned = true
	state.table.held, state.table.doubt = relative(searchStart.Add(held)), relative(searchStart.Add(doubt))
	s.add(state)
}

// call has a lessor send a call that is due.
func (s *searcher) call(state searchState, node int8) {
	if state.calls[searchCalls-1].exists {
		return
	}
	n := &state.nodes[node]
	k := s.allocator
	n.allocator(k)
	view := state.site()
	confirmedAt := searchStart.Add(-time.Duration(n.confirmed) * time.Second)
	if s.rules.noRight {
		confirmedAt = searchStart
	}
	calls := k.Calls(view.Servers, Lease{ConfirmedAt: confirmedAt}, searchStart)
	if len(calls) == 0 {
		return
	}
	server, run := searchRunOf(calls[0].Server)
	state.calls[searchCalls-1] = searchCall{exists: true, node: node, claim: n.claim, server: server, run: run, fence: n.fence, release: calls[0].Release}
	n.keep(k)
	s.add(state)
}

// move has a lessor begin to move the range to the other server.
func (s *searcher) move(state searchState, node int8) {
	n := &state.nodes[node]
	k := s.allocator
	l := n.allocator(k)
	s.rules.drop(k, l, state.site().Servers, searchStart)
	if state.left.moves == 0 || !l.canRelease(searchStart) {
		return
	}
	state.left.moves--
	other := 1 - n.server
	l.next = searchRun(other, state.servers[other].shown)
	k.setPhase(l, releasing)
	n.keep(k)
	s.add(state)
}

// forget lets the time pass after which restarts no longer count.
func (s *searcher) forget(state searchState, node int8) {
	if state.nodes[node].restarts != [2]int8{} {
		state.nodes[node].restarts = [2]int8{}
		s.add(state)
	}
}

// deliver has a call be lost, wait at the server, or be carried out there, with or
// without an answer to the sender.
func (s *searcher) deliver(state searchState, i int) {
	c := state.calls[i]
	if c.waits {
		state.calls[i] = searchCall{}
		s.apply(&state, c, c.age)
		s.add(state)
		return
	}
	if !c.abandoned && state.isBehind(c) {
		s.abandon(state, i)
		return // it leaves the sender's link after what was abandoned before
	}
	lost := state
	lost.calls[i] = searchCall{}
	s.answer(&lost, c, Result{Failed: true, Fate: Underway})
	s.add(lost)

	waiting := state
	waiting.calls[i] = searchCall{exists: true, waits: true, server: c.server, fence: c.fence, release: c.release}
	s.answer(&waiting, c, Result{Failed: true, Fate: Arrived})
	s.add(waiting)

	unanswered := state
	unanswered.calls[i] = searchCall{}
	s.apply(&unanswered, c, 0)
	s.answer(&unanswered, c, Result{Failed: true, Fate: Arrived})
	s.add(unanswered)
	if c.abandoned {
		return
	}
	s.abandon(state, i)

	state.calls[i] = searchCall{}
	fenced := s.apply(&state, c, 0)
	s.answer(&state, c, Result{Fenced: fenced})
	s.add(state)
}

// abandon has a call's sender reset its connection while its bytes are on their way.
func (s *searcher) abandon(state searchState, i int) {
	c := state.calls[i]
	state.calls[i].abandoned = true
	state.calls[i].age = 0
	s.answer(&state, c, Result{Failed: true, Fate: Underway})
	s.add(state)
}

// isBehind reports whether bytes of the same sender that were written before a call are
// still on their way.
func (s *searchState) isBehind(c searchCall) bool {
	for _, other := range s.calls {
		if other.exists && other.abandoned && other.node == c.node {
			return true
		}
	}
	return false
}

// apply carries a call out that arrived a while ago.
func (s *searcher) apply(state *searchState, c searchCall, age int8) (fenced bool) {
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
	server.had = max(server.had, c.fence)
	if state.servers[1-c.server].had >= c.fence {
		s.fault = "a fence that is not above the other server's"
	}
	return false
}

// answer gives the result of a call to its sender.
func (s *searcher) answer(state *searchState, c searchCall, result Result) {
	n := &state.nodes[c.node]
	if c.abandoned || !n.isLessor || n.claim != c.claim {
		return
	}
	k := s.allocator
	l := n.allocator(k)
	call := Call{Service: worldService, Server: searchRun(c.server, c.run), Release: c.release, SentAt: searchStart.Add(-time.Duration(c.age) * time.Second), lease: l}
	call.Grant = Grant{Assignment: l.Assignment, Hold: searchHold}
	call.Grant.Fence = Fence(c.fence)
	k.Done(call, result, searchStart)
	n.keep(k)
}

// start has a server start again, or its entry reach the register.
func (s *searcher) start(state searchState, name int) {
	server := &state.servers[name]
	if server.shown != server.run {
		shown := state
		shown.servers[name].shown = server.run
		s.add(shown)
	}
	if state.left.starts == 0 {
		return
	}
	state.left.starts--
	server.run++
	server.highest, server.held = 0, 0
	s.add(state)
}

// tick lets a second pass. Calls must be delivered within their timeout.
func (s *searcher) tick(state searchState) {
	for i := range state.calls {
		c := &state.calls[i]
		switch {
		case !c.exists:
		case c.abandoned && time.Duration(c.age)*time.Second >= searchUnderway:
			return
		case !c.waits && !c.abandoned && time.Duration(c.age)*time.Second >= searchTimeout:
			return
		case c.waits && c.age >= searchLate:
			*c = searchCall{} // what it could still do has run out
		default:
			c.age++
		}
	}
	for i := range state.nodes {
		n := &state.nodes[i]
		n.held, n.doubt = later(n.held), later(n.doubt)
		n.former, n.formerDoubt = later(n.former), later(n.formerDoubt)
		n.callUntil, n.strayUntil = later(n.callUntil), later(n.strayUntil)
		if n.isLessor {
			n.confirmed = min(n.confirmed+1, int8(searchRight/time.Second))
		}
		state.servers[i].held = later(state.servers[i].held)
	}
	s.add(state)
}

func later(milliseconds int16) int16 { return max(milliseconds-1000, 0) }
