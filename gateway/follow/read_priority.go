package follow

import "time"

// Read priority decides which nodes read the store. Each call to the store is billed and
// its calls per second are limited, so few nodes read it and notify the others. If each
// node read every topic, each start and each outage would cost as many calls as there are
// nodes, repeatedly.
//
// A node reads while the latest report that it received is older than its priority allows.
// The node with the highest capacity of each zone reads first; it has recent data before
// the next nodes would read, and sends it to them. The number of calls therefore does not
// grow with the number of nodes, unless no node can send reports.
const (
	// firstReadAge is the age of the latest report beyond which the node with the highest
	// capacity of a zone reads the store. Data is up to 0.65 s old at the lessor, and half
	// a second older at a node that waits for the next report.
	firstReadAge = 1200 * time.Millisecond
	// readDelayStep is the additional delay of each next node of a zone, and maxReadDelay
	// limits their sum, so that a node that receives no reports still notices a draining
	// server within two seconds.
	readDelayStep = 15 * time.Millisecond
	maxReadDelay  = 500 * time.Millisecond
	// seedTimeout is how long a starting node waits for the configured seeds, which read
	// the store at once. startSpread is the time over which the other nodes read it if no
	// seed responds.
	seedTimeout = 800 * time.Millisecond
	startSpread = 2 * time.Second
	// readEvery is the interval of reading servers and ownership. Each heartbeat of a
	// server is a record, so a read that waits for the next record would cost a call per
	// record.
	readEvery = 400 * time.Millisecond
	// soloReadEvery is the same interval for a node that no other node relies on.
	soloReadEvery = 800 * time.Millisecond
	// retryFirst is the pause after a failed call of a node that reads first, and
	// retryOthers that of the other nodes, which are notified by the first ones when the
	// store responds again. The pause doubles with each further failure up to maxRetryFirst
	// or maxRetryOthers.
	retryFirst     = 500 * time.Millisecond
	maxRetryFirst  = time.Second
	retryOthers    = time.Second
	maxRetryOthers = 4 * time.Second
)

// ReadPriority is a node's priority among those that may read the store.
type ReadPriority struct {
	IsLessor bool
	// IsSeed reports whether starting nodes call this node.
	IsSeed bool
	// HasSeeds reports whether there are nodes to call at the start.
	HasSeeds bool
	// Rank is how many nodes of the zone, not counting the lessor, have a higher capacity;
	// negative if the list of nodes does not contain this one.
	Rank int
	// Spread distributes nodes of equal priority over time. It is in [0, 1) and derived
	// from the node's name.
	Spread float64
}

// isFirst reports whether others rely on the node to read the store.
func (p ReadPriority) isFirst() bool {
	return p.IsLessor || p.Rank == 0 || p.Rank < 0 && (p.IsSeed || !p.HasSeeds)
}

// mayRead reports whether the node may read the store now. age is the age of the latest
// report from another node, or the time since the node's start if there was none.
func (p ReadPriority) mayRead(age time.Duration, hasReport bool) bool {
	return age > p.maxReportAge(hasReport)
}

// maxReportAge returns the age of the latest report beyond which a node reads the store. If
// there was no report, it is the time since the node's start.
func (p ReadPriority) maxReportAge(hasReport bool) time.Duration {
	switch {
	case p.IsLessor || p.isFirst() && !hasReport:
		return -1
	case p.isFirst():
		return firstReadAge
	case !hasReport:
		return seedTimeout + time.Duration(p.Spread*float64(startSpread))
	}
	return maxRelayContactAge + p.readDelay()
}

// readDelay returns the additional delay of this node.
func (p ReadPriority) readDelay() time.Duration {
	if p.Rank < 0 {
		return time.Duration(p.Spread * float64(maxReadDelay))
	}
	return min(time.Duration(p.Rank)*readDelayStep, maxReadDelay)
}

// interval returns the time between two reads of a topic.
func (p ReadPriority) interval() time.Duration {
	if p.isFirst() {
		return readEvery
	}
	return soloReadEvery
}

// retryPause returns the pause after a number of consecutive failed calls.
func (p ReadPriority) retryPause(failures int) time.Duration {
	pause, most := retryOthers, maxRetryOthers
	if p.isFirst() {
		pause, most = retryFirst, maxRetryFirst
	}
	doublings := min(max(failures-1, 0), 10)
	pause = min(pause<<doublings, most)
	return time.Duration((0.75 + 0.5*p.Spread) * float64(pause))
}

// reason returns why a node reads the store, for the log.
func (p ReadPriority) reason(hasReport bool) string {
	switch {
	case p.IsLessor:
		return "lessor"
	case !hasReport:
		return "start"
	case p.isFirst():
		return "first of its zone, no recent report from the lessor"
	}
	return "no recent report from any node"
}
