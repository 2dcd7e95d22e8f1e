package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// The search explores every order of events, within its bounds, that one range, two servers
// and two nodes can go through. The production functions of Allocator decide what the nodes
// send and append. Time advances in whole seconds. Within a second, events occur in any
// order and any of them may be omitted, so that nodes, calls and the registry may be as
// slow as possible.
//
// State that can no longer matter is normalized: times that have passed, and fences except
// for their order. The length of the histories is therefore unbounded; only the numbers of
// restarts, claims, planned moves and calls in flight are bounded.
const (
	searchHold        = time.Second
	searchTimeout     = time.Second
	searchGrantPeriod = 2 * time.Second
	// searchLinkDelay is how long after its sender has abandoned it a call may arrive.
	searchLinkDelay = time.Second
	// maxSearchWait is how many seconds a call without a response may wait at a server. After
	// that time and the hold it cannot be in force any more.
	maxSearchWait = 1
	// maxSearchCalls is the maximum number of calls in flight or waiting at a server.
	maxSearchCalls = 2
	// maxSearchIncarnations is the maximum number of incarnations of a server.
	maxSearchIncarnations = 4
)

var (
	searchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	searchNames = [2]site.ServerName{"a", "b"}
	searchTimes = Timing{Hold: searchHold, GrantPeriod: searchGrantPeriod, CallTimeout: searchTimeout, MaxLinkDelay: searchLinkDelay, ReleaseTimeout: searchTimeout}
)

// searchState is a state of the search. It is comparable: equal states have the same
// future. Times are relative to now.
type searchState struct {
	nodes     [2]searchNode
	servers   [2]searchServer
	calls     [maxSearchCalls]searchCall // sorted; empty ones last
	table     searchTable
	remaining searchBounds
}

// searchBounds is the number of events of each kind that may still occur.
type searchBounds struct{ restarts, claims, resigns, moves int8 }

// searchTable is the newest table.
type searchTable struct {
	server, incarnation int8
	end                 int8 // fence of the next append
	// resigned is set if the lessor has resigned; held and uncertain are the durations that
	// it reported with that, in milliseconds.
	resigned        bool
	held, uncertain int16
}

// searchNode is the state of a node as lessor. The zero value is a node that is none.
type searchNode struct {
	isLessor     bool
	atEnd        bool // no other node has appended since
	confirmed    int8 // seconds since its latest append
	claim        int8 // fence of its claim
	incarnations [2]int8
	restarts     [2]int8

	server, incarnation   int8
	next, nextIncarnation int8 // target of a planned move; next -1: none
	fence                 int8
	phase                 phase
	callInFlight          bool
	hasUncertainGrant     bool
	answered              bool
	raiseFence            bool
	failures              int8
	held                  int16 // milliseconds, as for the following durations
	uncertain             int16
	previous              int16 // the same as held and uncertain, for previous lessors
	previousUncertain     int16
	// callUntil is when the grant of the running call expires, and abandonedUntil when the
	// last of the abandoned grants with bytes in flight expires; 0: none.
	callUntil, abandonedUntil int16
}

// searchServer is the current incarnation of a server.
type searchServer struct {
	incarnation, registered int8 // registered: the one in the registry
	highest                 int8
	highestHeld             int8 // highest fence under which any incarnation held the range
	held                    int16
}

// searchCall is a call in flight, or one that waits at a server and has no response.
type searchCall struct {
	exists              bool
	node, claim         int8 // the sender, and the fence of the claim that made it lessor
	server, incarnation int8
	fence               int8
	release             bool
	waits               bool
	abandoned           bool // by its sender, while it is in flight
	age                 int8 // seconds since it was sent, was abandoned, or arrived
}

// The incarnations of both servers, and the registries that contain one of each, are
// created once because the search needs them at every step.
var (
	searchIncarnations       [len(searchNames)][maxSearchIncarnations]site.ServerID
	searchIncarnationNumbers = map[site.ServerID][2]int8{}
	searchSites              [maxSearchIncarnations][maxSearchIncarnations]Site
)

func init() {
	for name := range searchNames {
		for number := range maxSearchIncarnations {
			id := site.IncarnationID(searchNames[name], time.Unix(int64(number)+1, 0))
			searchIncarnations[name][number] = id
			searchIncarnationNumbers[id] = [2]int8{int8(name), int8(number)}
		}
	}
	for a := range int8(maxSearchIncarnations) {
		for b := range int8(maxSearchIncarnations) {
			searchSites[a][b] = searchSite([2]int8{a, b})
		}
	}
}

func searchIncarnation(name, number int8) site.ServerID { return searchIncarnations[name][number] }

func searchIncarnationOf(id site.ServerID) (name, number int8) {
	run := searchIncarnationNumbers[id]
	return run[0], run[1]
}

// searchSite returns a registry that contains one incarnation of each server.
func searchSite(registered [2]int8) Site {
	view := keyedSite()
	for name := range int8(len(searchNames)) {
		for run := range registered[name] + 1 {
			id := searchIncarnation(name, run)
			server := site.Server{ID: id, Service: worldService, Slots: 1, Address: string(searchNames[name])}
			view.Known[id] = server
			if run == registered[name] {
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

// site returns the registry as the nodes see it.
func (s *searchState) site() Site {
	return searchSites[s.servers[0].registered][s.servers[1].registered]
}

// newSearchAllocator returns a lessor into which load copies the state of a node.
func newSearchAllocator() *Allocator {
	return &Allocator{
		timing:        searchTimes,
		leases:        map[site.ServiceName][]*rangeState{worldService: {{}}},
		compactedAt:   map[site.ServiceName]time.Time{worldService: searchStart},
		incarnations:  newIncarnations(),
		excludedUntil: map[site.ServerID]time.Time{},
	}
}

// load sets alloc to the state of the node and returns its lease.
func (n *searchNode) load(alloc *Allocator) *rangeState {
	l := alloc.leases[worldService][0]
	*l = rangeState{
		Assignment:        Assignment{Span: Span{To: LastKey}, Server: searchIncarnation(n.server, n.incarnation), Fence: Fence(n.fence)},
		service:           worldService,
		phase:             n.phase,
		heldUntil:         absolute(n.held),
		uncertainUntil:    absolute(n.uncertain),
		callInFlight:      n.callInFlight,
		hasUncertainGrant: n.hasUncertainGrant,
		confirmed:         n.answered,
		raiseFence:        n.raiseFence,
		failures:          int(n.failures),
	}
	l.previousUntil, l.previousUncertainUntil = absolute(n.previous), absolute(n.previousUncertain)
	l.inFlight = n.inFlight()
	alloc.hasAbandonedGrants = l.hasAbandonedGrants()
	if n.next >= 0 {
		l.next = searchIncarnation(n.next, n.nextIncarnation)
	}
	alloc.incarnations.unreported = nil
	clear(alloc.excludedUntil)
	if n.failures >= failuresToExpire {
		alloc.excludedUntil[l.Server] = searchStart.Add(unresponsiveCooldown)
	}
	for name := range int8(len(searchNames)) {
		alloc.incarnations.current[searchNames[name]] = searchIncarnation(name, n.incarnations[name])
		alloc.incarnations.restarts[searchNames[name]] = searchRestarts[:n.restarts[name]:n.restarts[name]]
	}
	return l
}

// inFlight returns the grants of the node whose arrival is unknown. Abandoned calls were
// reset before any running call was sent.
func (n *searchNode) inFlight() []inFlightGrant {
	var flights []inFlightGrant
	if n.callUntil > 0 {
		flights = append(flights, inFlightGrant{hold: searchHold, until: absolute(n.callUntil)})
	}
	if n.abandonedUntil > 0 {
		flights = append(flights, inFlightGrant{hold: searchHold, until: absolute(n.abandonedUntil), endedAt: searchStart.Add(-time.Hour)})
	}
	return flights
}

// saveInFlight stores the grants whose arrival is unknown.
func (n *searchNode) saveInFlight(flights []inFlightGrant) {
	n.callUntil, n.abandonedUntil = 0, 0
	for _, f := range flights {
		if f.endedAt.IsZero() {
			n.callUntil = relative(f.until)
			continue
		}
		n.abandonedUntil = max(n.abandonedUntil, relative(f.until))
	}
}

var searchRestarts = slices.Repeat([]time.Time{searchStart}, crashLoopRestarts)

// save stores the state of the lessor in the node after an event.
func (n *searchNode) save(alloc *Allocator) {
	l := alloc.leases[worldService][0]
	n.server, n.incarnation = searchIncarnationOf(l.Server)
	n.next, n.nextIncarnation = -1, 0
	if l.next != "" {
		n.next, n.nextIncarnation = searchIncarnationOf(l.next)
	}
	n.fence, n.phase = int8(l.Fence), l.phase
	n.callInFlight, n.hasUncertainGrant, n.answered, n.raiseFence = l.callInFlight, l.hasUncertainGrant, l.confirmed, l.raiseFence
	n.failures = int8(min(l.failures, failuresToExpire))
	n.held, n.uncertain = relative(l.heldUntil), relative(l.uncertainUntil)
	n.previous, n.previousUncertain = relative(l.previousUntil), relative(l.previousUncertainUntil)
	n.saveInFlight(l.inFlight)
	for name := range int8(len(searchNames)) {
		if present, known := alloc.incarnations.current[searchNames[name]]; known {
			_, n.incarnations[name] = searchIncarnationOf(present)
		}
		n.restarts[name] = int8(min(len(alloc.incarnations.restarts[searchNames[name]]), crashLoopRestarts))
	}
}

// normalize makes states with the same future equal.
func (s *searchState) normalize() {
	slices.SortFunc(s.calls[:], compareCalls)
	for i := range s.nodes {
		for name, restarts := range s.nodes[i].restarts {
			if restarts+s.remaining.restarts < crashLoopRestarts {
				s.nodes[i].restarts[name] = 0 // too few restarts remain for a crash loop
			}
		}
	}
	fences := []*int8{&s.table.end}
	for i := range s.nodes {
		fences = append(fences, &s.nodes[i].fence, &s.nodes[i].claim)
		fences = append(fences, &s.servers[i].highest, &s.servers[i].highestHeld)
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

func compareCalls(a, b searchCall) int { return b.sortKey() - a.sortKey() }

func (c *searchCall) sortKey() int {
	number := 0
	for _, digit := range []int8{bit(c.exists), bit(c.release), bit(c.waits), bit(c.abandoned), c.node, c.server, c.incarnation, c.age, c.claim, c.fence} {
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
