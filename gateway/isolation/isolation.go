// Package isolation decides whether a node's zone is cut off from the others. It has no I/O
// and no clock.
//
// It covers a zone that loses its links to the other zones for seconds while callers still
// reach all zones. A node of that zone reaches only the servers of its own zone; the other
// zones reach all other servers and take over the keys. When the node reports that it is
// not ready, the load balancer sends its callers to zones that can serve them. The node
// becomes ready again as soon as it reaches another zone.
package isolation

import "time"

const (
	// MaxContactAge is the age of a node's contact with the store, direct or through another
	// node, above which the node checks whether it reaches other zones.
	MaxContactAge = time.Second
	// SampleInterval is the interval of the checks.
	SampleInterval = 250 * time.Millisecond
	// MaxProbes is how many nodes of other zones are probed in a check. One node may be down,
	// and a link that loses packets may lose more than one probe.
	MaxProbes = 3
)

// Sample is the result of a check.
type Sample struct {
	Contact    time.Duration // age of the contact with the store
	HasContact bool          // the node has had contact with the store
	Probed     int           // number of probed nodes of other zones
	Reached    int           // number of probed nodes that responded
}

// MustProbe reports whether the age of the contact alone requires probes of other zones.
func (s Sample) MustProbe() bool { return s.HasContact && s.Contact > MaxContactAge }

// IsIsolated reports whether the node's zone is cut off. It is not if only the store does not
// respond, or if the node knows no other zone.
func (s Sample) IsIsolated() bool { return s.MustProbe() && s.Probed > 0 && s.Reached == 0 }
