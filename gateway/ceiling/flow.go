package ceiling

// network is a flow network whose flow of greatest value is sought: sources with a supply, sinks with a capacity, and links from
// sources to sinks with a value per unit of flow. Amounts and values are whole numbers, so that no rounding leaves remainders.
type network struct {
	supply, room []int64 // left at sources and sinks
	links        []link
	out          [][]int // links of each source
	in           [][]int // links of each sink
}

type link struct {
	source, sink int
	value        int64
	flow         int64
}

func newNetwork(supply, room []int64) *network {
	return &network{supply: supply, room: room, out: make([][]int, len(supply)), in: make([][]int, len(room))}
}

func (n *network) connect(source, sink int, value int64) {
	n.out[source] = append(n.out[source], len(n.links))
	n.in[sink] = append(n.in[sink], len(n.links))
	n.links = append(n.links, link{source: source, sink: sink, value: value})
}

// unreached marks nodes that no path reaches. It is far below any sum of values.
const unreached = -1 << 62

// maximize finds the flow of greatest value. Each round adds flow along the path with the greatest gain from a source with supply to a
// sink with room, where flow of earlier rounds may be taken back; it ends when no path has a gain.
func (n *network) maximize() {
	search := newSearch(n)
	for {
		sink := search.run()
		if sink < 0 || search.gain[len(n.supply)+sink] <= 0 {
			return
		}
		n.augment(search, sink)
	}
}

// augment adds as much flow as the path found by the search to the sink allows.
func (n *network) augment(s *search, sink int) {
	amount := n.room[sink]
	source := n.walk(s, sink, func(l *link, isForward bool) {
		if !isForward {
			amount = min(amount, l.flow)
		}
	})
	amount = min(amount, n.supply[source])
	n.walk(s, sink, func(l *link, isForward bool) {
		if isForward {
			l.flow += amount
		} else {
			l.flow -= amount
		}
	})
	n.supply[source] -= amount
	n.room[sink] -= amount
}

// walk visits the links of the path from the sink back to its source, and returns the source.
func (n *network) walk(s *search, sink int, visit func(l *link, isForward bool)) int {
	for {
		forward := &n.links[s.via[len(n.supply)+sink]]
		visit(forward, true)
		back := s.via[forward.source]
		if back < 0 {
			return forward.source
		}
		visit(&n.links[back], false)
		sink = n.links[back].sink
	}
}

// search finds paths of greatest gain (Bellman-Ford with a queue). Nodes are the sources, then the sinks.
type search struct {
	n        *network
	gain     []int64
	via      []int // link by which the best path arrives; -1 at its start
	isQueued []bool
	queue    []int
}

func newSearch(n *network) *search {
	nodes := len(n.supply) + len(n.room)
	return &search{n: n, gain: make([]int64, nodes), via: make([]int, nodes), isQueued: make([]bool, nodes)}
}

// run returns the sink with room whose path has the greatest gain, or -1.
func (s *search) run() int {
	for node := range s.gain {
		s.gain[node], s.via[node] = unreached, -1
	}
	for source, left := range s.n.supply {
		if left > 0 {
			s.improve(source, 0, -1)
		}
	}
	for len(s.queue) > 0 {
		node := s.queue[0]
		s.queue = s.queue[1:]
		s.isQueued[node] = false
		s.relax(node)
	}
	best := -1
	sources := len(s.n.supply)
	for sink, left := range s.n.room {
		gain := s.gain[sources+sink]
		if left > 0 && gain > unreached && (best < 0 || gain > s.gain[sources+best]) {
			best = sink
		}
	}
	return best
}

func (s *search) relax(node int) {
	sources := len(s.n.supply)
	if node < sources {
		for _, i := range s.n.out[node] {
			l := &s.n.links[i]
			s.improve(sources+l.sink, s.gain[node]+l.value, i)
		}
		return
	}
	for _, i := range s.n.in[node-sources] {
		if l := &s.n.links[i]; l.flow > 0 {
			s.improve(l.source, s.gain[node]-l.value, i)
		}
	}
}

func (s *search) improve(node int, gain int64, via int) {
	if gain <= s.gain[node] {
		return
	}
	s.gain[node], s.via[node] = gain, via
	if !s.isQueued[node] {
		s.isQueued[node] = true
		s.queue = append(s.queue, node)
	}
}
