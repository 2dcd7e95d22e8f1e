package ranges

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// The search plays every order of events, within its bounds, that one range, two
// servers and two nodes can see: the functions of Keeper that run in a node decide
// what the nodes send and append. Time goes in whole seconds; within one, events
// come in any order and any of them may stay out, so that nodes, calls and the
// register may be as slow as can be.
//
// What is older than it matters is made equal: times that have passed, and fences
// but for their order. So the length of the histories has no bound, only the number
// of starts, claims and planned moves in them and of calls that are under way.
const (
	searchHold    = time.Second
	searchTimeout = time.Second
	searchRight   = time.Second
	// searchLate is for how long a call without an answer may wait at a server: with
	// the hold, until it can no longer be in force.
	searchLate = 1
	// searchCalls bounds the calls on their way or waiting at a server.
	searchCalls = 2
	// searchStarts bounds the runs of a server.
	searchStarts = 4
)

var (
	searchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	searchNames = [2]site.ServerName{"a", "b"}
	searchTimes = Timing{Hold: searchHold, Right: searchRight, HoldMax: 10 * time.Second, CallTimeout: searchTimeout, ReleaseTimeout: searchTimeout}
)

// searchState is one state. It is a map's key: states that are equal have the same
// future. Times are relative to now.
type searchState struct {
	nodes   [2]searchNode
	servers [2]searchServer
	calls   [searchCalls]searchCall // in order; empty ones last
	table   searchTable
	left    searchBounds
}

// searchBounds is how many events of a kind may still come.
type searchBounds struct{ starts, claims, moves int8 }

// searchTable is the newest table.
type searchTable struct {
	server, run int8
	end         int8 // fence of the next append
}

// searchNode is what a node knows as lessor; the zero value: it is none.
type searchNode struct {
	isLessor  bool
	atEnd     bool // nobody has appended since
	confirmed int8 // seconds since its latest append
	claim     int8 // fence of its claim
	runs      [2]int8
	restarts  [2]int8

	server, run   int8
	next, nextRun int8 // of a planned move; next -1: none
	fence         int8
	phase         phase
	calling       bool
	doubtful      bool
	answered      bool
	raised        bool
	misses        int8
	held          int16 // milliseconds
	doubt         int16
	earlier       int16
}

// searchServer is a server's present run.
type searchServer struct {
	run, shown int8 // shown: in the register
	highest    int8
	had        int8 // highest fence with which any run held the range
	held       int16
}

// searchCall is a call on its way, or one that waits at a server and has no answer.
type searchCall struct {
	exists      bool
	node, claim int8 // the sender, as the lessor of that claim
	server, run int8
	fence       int8
	release     bool
	waits       bool
	age         int8 // seconds since it was sent, or since it arrived
}

// The runs of both servers, and the registers that show one of each, are made once:
// the search asks for them at every step.
var (
	searchRuns   [len(searchNames)][searchStarts]site.ServerID
	searchRunsOf = map[site.ServerID][2]int8{}
	searchSites  [searchStarts][searchStarts]Site
)

func init() {
	for name := range searchNames {
		for number := range searchStarts {
			id := site.RunID(searchNames[name], time.Unix(int64(number)+1, 0))
			searchRuns[name][number] = id
			searchRunsOf[id] = [2]int8{int8(name), int8(number)}
		}
	}
	for a := range int8(searchStarts) {
		for b := range int8(searchStarts) {
			searchSites[a][b] = searchSite([2]int8{a, b})
		}
	}
}

func searchRun(name, number int8) site.ServerID { return searchRuns[name][number] }

func searchRunOf(id site.ServerID) (name, number int8) {
	run := searchRunsOf[id]
	return run[0], run[1]
}

// searchSite returns a register that shows a run of each server.
func searchSite(shown [2]int8) Site {
	view := keyedSite()
	for name := range int8(len(searchNames)) {
		for run := range shown[name] + 1 {
			id := searchRun(name, run)
			server := site.Server{ID: id, Service: worldService, Slots: 1, Address: string(searchNames[name])}
			view.Known[id] = server
			if run == shown[name] {
				view.Servers[id] = server
			}
		}
	}
	return view
}

func relative(t time.Time) int16 { return int16(max(t.Sub(searchStart), 0).Milliseconds()) }

func absolute(milliseconds int16) time.Time {
	return searchStart.Add(time.Duration(milliseconds) * time.Millisecond)
}

// site returns the register as the nodes see it.
func (s *searchState) site() Site { return searchSites[s.servers[0].shown][s.servers[1].shown] }

// keeper returns the lessor that a node is.
func (n *searchNode) keeper() (*Keeper, *lease) {
	l := &lease{
		Assignment:   Assignment{Span: Span{To: LastKey}, Server: searchRun(n.server, n.run), Fence: Fence(n.fence)},
		service:      worldService,
		phase:        n.phase,
		heldUntil:    absolute(n.held),
		doubtUntil:   absolute(n.doubt),
		earlierUntil: absolute(n.earlier),
		calling:      n.calling,
		doubtful:     n.doubtful,
		confirmed:    n.answered,
		raised:       n.raised,
		misses:       int(n.misses),
	}
	if n.next >= 0 {
		l.next = searchRun(n.next, n.nextRun)
	}
	k := &Keeper{
		timing:      searchTimes,
		leases:      map[site.ServiceName][]*lease{worldService: {l}},
		compactedAt: map[site.ServiceName]time.Time{worldService: searchStart},
		runs:        newRuns(),
	}
	for name := range int8(len(searchNames)) {
		k.runs.present[searchNames[name]] = searchRun(name, n.runs[name])
		k.runs.restarts[searchNames[name]] = slices.Repeat([]time.Time{searchStart}, int(n.restarts[name]))
	}
	return k, l
}

// keep takes what the lessor of a node knows after an event.
func (n *searchNode) keep(k *Keeper) {
	l := k.leases[worldService][0]
	n.server, n.run = searchRunOf(l.Server)
	n.next, n.nextRun = -1, 0
	if l.next != "" {
		n.next, n.nextRun = searchRunOf(l.next)
	}
	n.fence, n.phase = int8(l.Fence), l.phase
	n.calling, n.doubtful, n.answered, n.raised = l.calling, l.doubtful, l.confirmed, l.raised
	n.misses = int8(min(l.misses, missesToLapse))
	n.held, n.doubt, n.earlier = relative(l.heldUntil), relative(l.doubtUntil), relative(l.earlierUntil)
	for name := range int8(len(searchNames)) {
		if present, known := k.runs.present[searchNames[name]]; known {
			_, n.runs[name] = searchRunOf(present)
		}
		n.restarts[name] = int8(min(len(k.runs.restarts[searchNames[name]]), restartsOfLoop))
	}
}

// searcher explores the states.
type searcher struct {
	rules rules
	seen  map[searchState]struct{}
	todo  []searchState
	fault string
}

// search returns a fault if there is one, and the number of states.
func search(bounds searchBounds, r rules, most int) (fault string, states int, complete bool) {
	s := &searcher{rules: r, seen: map[searchState]struct{}{}}
	first := searchState{left: bounds}
	first.table.end = 1
	first.left.claims++ // the first one has no former lessor
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
	if _, known := s.seen[state]; known {
		return
	}
	s.seen[state] = struct{}{}
	s.todo = append(s.todo, state)
}

// normalize makes states with the same future equal.
func (s *searchState) normalize() {
	slices.SortFunc(s.calls[:], compareCalls)
	fences := []*int8{&s.table.end}
	for i := range s.nodes {
		fences = append(fences, &s.nodes[i].fence, &s.nodes[i].claim)
		fences = append(fences, &s.servers[i].highest, &s.servers[i].had)
	}
	for i := range s.calls {
		fences = append(fences, &s.calls[i].fence, &s.calls[i].claim)
	}
	order := []int8{0}
	for _, fence := range fences {
		if at, exists := slices.BinarySearch(order, *fence); !exists {
			order = slices.Insert(order, at, *fence)
		}
	}
	for _, fence := range fences {
		at, _ := slices.BinarySearch(order, *fence)
		*fence = int8(at)
	}
}

func compareCalls(a, b searchCall) int { return b.number() - a.number() }

func (c *searchCall) number() int {
	number := 0
	for _, digit := range []int8{bit(c.exists), bit(c.release), bit(c.waits), c.node, c.server, c.run, c.age, c.claim, c.fence} {
		number = number*32 + int(digit)
	}
	return number
}

func bit(b bool) int8 {
	if b {
		return 1
	}
	return 0
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
		s.call(state, node)
		s.move(state, node)
		s.forget(state, node)
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
	if s.rules.noFormer {
		former = searchTimes.lapse(searchHold)
	}
	k := NewKeeper(table.Refenced(Lessor{}, Fence(fence)), searchTimes, former, searchStart)
	k.runs.observe(state.site().Servers, searchStart)
	n := &state.nodes[node]
	n.isLessor, n.claim = true, fence
	n.keep(k)
	state.table.end++
	s.add(state)
}

// appendBy notes that a node appends.
func (s *searchState) appendBy(node int8) {
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
	k, l := n.keeper()
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

// call has a lessor send a call that is due.
func (s *searcher) call(state searchState, node int8) {
	if state.calls[searchCalls-1].exists {
		return
	}
	n := &state.nodes[node]
	k, l := n.keeper()
	view := state.site()
	s.rules.drop(k, l, view.Servers, searchStart)
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
	k, l := n.keeper()
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
	lost := state
	lost.calls[i] = searchCall{}
	lost.answer(c, Result{Failed: true})
	s.add(lost)

	waiting := state
	waiting.calls[i] = searchCall{exists: true, waits: true, server: c.server, fence: c.fence, release: c.release}
	waiting.answer(c, Result{Failed: true})
	s.add(waiting)

	unanswered := state
	unanswered.calls[i] = searchCall{}
	s.apply(&unanswered, c, 0)
	unanswered.answer(c, Result{Failed: true})
	s.add(unanswered)

	state.calls[i] = searchCall{}
	fenced := s.apply(&state, c, 0)
	state.answer(c, Result{Fenced: fenced})
	s.add(state)
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
func (s *searchState) answer(c searchCall, result Result) {
	n := &s.nodes[c.node]
	if !n.isLessor || n.claim != c.claim {
		return
	}
	k, l := n.keeper()
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
		case !c.waits && time.Duration(c.age)*time.Second >= searchTimeout:
			return
		case c.waits && c.age >= searchLate:
			*c = searchCall{} // what it could still do has run out
		default:
			c.age++
		}
	}
	for i := range state.nodes {
		n := &state.nodes[i]
		n.held, n.doubt, n.earlier = later(n.held), later(n.doubt), later(n.earlier)
		if n.isLessor {
			n.confirmed = min(n.confirmed+1, int8(searchRight/time.Second))
		}
		state.servers[i].held = later(state.servers[i].held)
	}
	s.add(state)
}

func later(milliseconds int16) int16 { return max(milliseconds-1000, 0) }

// mostStates ends a search that has no end within its bounds.
const mostStates = 12_000_000

func TestNoHistoryHasTwoOwners(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds searchBounds
	}{
		{"a server starts twice", searchBounds{starts: 2, moves: 1}},
		{"a server starts once beside a claim", searchBounds{starts: 1, claims: 1, moves: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			startedAt := time.Now()
			fault, states, complete := search(c.bounds, rules{}, mostStates)
			t.Logf("%d states in %v", states, time.Since(startedAt))
			g.Expect(fault).To(gomega.BeEmpty())
			g.Expect(complete).To(gomega.BeTrue())
		})
	}
}

func TestEveryRuleIsNeededInSomeHistory(t *testing.T) {
	for name, c := range map[string]struct {
		dropped rules
		bounds  searchBounds
	}{
		"the former lessor's right is not waited for":          {rules{noFormer: true}, searchBounds{claims: 1, moves: 1}},
		"a silent owner's holds are not waited out":            {rules{noWait: true}, searchBounds{}},
		"a range is released although a grant had no answer":   {rules{noSeal: true}, searchBounds{moves: 1}},
		"a lessor grants although its lease was not confirmed": {rules{noRight: true}, searchBounds{claims: 1, moves: 1}},
		"a later run is proof that the owner holds nothing":    {rules{noName: true}, searchBounds{starts: 1}},
		"what an earlier run was granted is forgotten":         {rules{noCarry: true}, searchBounds{starts: 2, moves: 1}},
		"a higher fence ends the wait for unanswered grants":   {rules{noDoubt: true}, searchBounds{starts: 1, moves: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			fault, states, _ := search(c.bounds, c.dropped, mostStates)
			t.Logf("%d states: %s", states, fault)
			gomega.NewWithT(t).Expect(fault).NotTo(gomega.BeEmpty())
		})
	}
}
