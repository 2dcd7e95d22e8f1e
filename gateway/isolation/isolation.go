// Package isolation decides whether a node's zone is cut off from the others. It has no I/O
// and no clock.
//
// It answers a zone that loses its links to the others for seconds, while callers still reach
// all of them. A node there reaches the servers of its own zone only; the other zones reach
// the rest and take over the keys. A node that stops being ready has the balancer send its
// callers to zones that can serve them, and is ready again as soon as it reaches another zone.
package isolation

import "time"

const (
	// LookAfter is the age of a node's contact with the store, its own or by way of another
	// node, above which it looks whether it reaches other zones.
	LookAfter = time.Second
	// LookEvery is the time between two looks.
	LookEvery = 250 * time.Millisecond
	// Tries is how many nodes of other zones a node tries in a look: one may be down, and a
	// link that loses packets loses more than one.
	Tries = 3
)

// Look is what a node has seen.
type Look struct {
	Contact time.Duration // age of the contact with the store
	Known   bool          // there has been contact
	Tried   int           // nodes of other zones
	Reached int           // of these
}

// MustTry reports whether a node has to try nodes of other zones, by its contact alone.
func (l Look) MustTry() bool { return l.Known && l.Contact > LookAfter }

// CutOff reports whether the node's zone is cut off. A node that the store alone does not
// answer is not, nor is one that knows no other zone.
func (l Look) CutOff() bool { return l.MustTry() && l.Tried > 0 && l.Reached == 0 }
