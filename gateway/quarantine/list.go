package quarantine

import "github.com/burdockspindle/burdockspindle/gateway/site"

// List holds the requests that are quarantined or suspected. It is immutable.
type List map[Fingerprint]Entry

// Entry is a request of a list.
type Entry struct {
	// Quarantined requests are refused. Of others, answers are reported.
	Quarantined bool `json:"quarantined,omitempty"`
	// Trial identifies the current trial of a quarantined request: in it, one node may send it
	// once. 0: there was none.
	Trial int `json:"trial,omitempty"`
	// Servers ended while they had the request.
	Servers []site.ServerID `json:"servers"`
}

// IsQuarantined reports whether a request is refused.
func (l List) IsQuarantined(f Fingerprint) bool { return l[f].Quarantined }

// TrialNode returns which of a number of nodes may send a request in its current trial, and
// whether there is a trial. Nodes with the same list of nodes agree.
func (l List) TrialNode(f Fingerprint, nodes int) (node int, hasTrial bool) {
	entry := l[f]
	if entry.Trial == 0 || nodes == 0 {
		return 0, false
	}
	return int((f.Low + uint64(entry.Trial)) % uint64(nodes)), true
}

// IsEqual reports whether two lists have the same requests in the same state.
func (l List) IsEqual(other List) bool {
	if len(l) != len(other) {
		return false
	}
	for f, entry := range l {
		known, exists := other[f]
		if !exists || known.Quarantined != entry.Quarantined || known.Trial != entry.Trial || len(known.Servers) != len(entry.Servers) {
			return false
		}
	}
	return true
}

// Quarantined returns the number of quarantined requests.
func (l List) Quarantined() int {
	count := 0
	for _, entry := range l {
		if entry.Quarantined {
			count++
		}
	}
	return count
}
