package follow

import "time"

// Who reads the store. Each call to it is paid for and its calls a second are
// bounded, so few nodes read it and notify the others. If each node read every topic, a
// start and an outage would take as many calls as there are nodes, again and again.
//
// A node reads while what it was told is older than its turn allows. The first turn is
// the strongest node's of each zone; by the time of the next ones it has news again,
// and tells them. So calls do not grow with the number of nodes, unless nobody can
// tell a node anything.
const (
	// firstTurn is the age of what the strongest node of a zone was told beyond which
	// it reads the store. News are up to 0.65 s old at the lessor, and half a second
	// more at a node that waits for the next.
	firstTurn = 1200 * time.Millisecond
	// turnStep is how much later the turn of each next node of a zone comes, and
	// mostTurns bounds that: a node that nobody tells anything notices a server that
	// drains within two seconds all the same.
	turnStep  = 15 * time.Millisecond
	mostTurns = 500 * time.Millisecond
	// startPatience is how long a node that starts waits for those that its settings
	// name, which read the store at once, and startSpread is the time over which the
	// others read it if none of those answers.
	startPatience = 800 * time.Millisecond
	startSpread   = 2 * time.Second
	// readEvery is the interval of reading servers and ownership: each heartbeat
	// of a server is a record, so waiting for the next one would be a call for
	// every record.
	readEvery = 400 * time.Millisecond
	// readAloneEvery is the same for a node that nobody relies on.
	readAloneEvery = 800 * time.Millisecond
	// retryFirst is the pause of those whose turn is first after a call that failed,
	// and retryOthers that of the others, whom they tell that the store is back. The
	// pause doubles with each further failure up to the most.
	retryFirst      = 500 * time.Millisecond
	mostRetryFirst  = time.Second
	retryOthers     = time.Second
	mostRetryOthers = 4 * time.Second
)

// Standing is a node's place among those that may read the store.
type Standing struct {
	IsLessor bool
	// IsSeed tells that nodes that start ask this one.
	IsSeed bool
	// HasSeeds tells that there are nodes to ask at the start.
	HasSeeds bool
	// Rank is how many nodes of the zone are stronger, the lessor aside; negative if
	// the list of nodes does not tell.
	Rank int
	// Spread sets nodes of equal standing apart: from 0 up to 1, the node's own.
	Spread float64
}

// isFirst reports whether others rely on the node to read the store.
func (s Standing) isFirst() bool {
	return s.IsLessor || s.Rank == 0 || s.Rank < 0 && (s.IsSeed || !s.HasSeeds)
}

// mayRead reports whether it is the node's turn to read the store. told is the age
// of what it was told by others; if it was told nothing, the time since its start.
func (s Standing) mayRead(told time.Duration, wasTold bool) bool {
	return told > s.patience(wasTold)
}

// patience returns the age of what a node was told beyond which it reads the store; if it
// was told nothing, the time since its start.
func (s Standing) patience(wasTold bool) time.Duration {
	switch {
	case s.IsLessor || s.isFirst() && !wasTold:
		return -1
	case s.isFirst():
		return firstTurn
	case !wasTold:
		return startPatience + time.Duration(s.Spread*float64(startSpread))
	}
	return staleRelay + s.turn()
}

// turn returns how much later than others a node's turn comes.
func (s Standing) turn() time.Duration {
	if s.Rank < 0 {
		return time.Duration(s.Spread * float64(mostTurns))
	}
	return min(time.Duration(s.Rank)*turnStep, mostTurns)
}

// interval returns the time between two reads of a topic.
func (s Standing) interval() time.Duration {
	if s.isFirst() {
		return readEvery
	}
	return readAloneEvery
}

// retryPause returns the pause after so many calls in a row that failed.
func (s Standing) retryPause(failures int) time.Duration {
	pause, most := retryOthers, mostRetryOthers
	if s.isFirst() {
		pause, most = retryFirst, mostRetryFirst
	}
	doublings := min(max(failures-1, 0), 10)
	pause = min(pause<<doublings, most)
	return time.Duration((0.75 + 0.5*s.Spread) * float64(pause))
}

// reason says why a node reads the store, for its log.
func (s Standing) reason(wasTold bool) string {
	switch {
	case s.IsLessor:
		return "lessor"
	case !wasTold:
		return "start"
	case s.isFirst():
		return "first of its zone, no news from the lessor"
	}
	return "no news from any node"
}
