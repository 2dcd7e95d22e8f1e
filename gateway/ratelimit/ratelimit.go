// Package ratelimit limits the requests that all nodes of a site together send to a cold server. A
// server that has just started, or has turned cold, tolerates a few requests a second and crashes
// at more. With dozens of nodes a share of that for each is less than one request, so one node
// counts the requests to each cold server: only it sends any, and the others forward to it.
//
// The package has no I/O and no clock.
package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Counter returns the node that counts the requests to a server while it is cold, the same at
// every node with the same members: one of the server's zone, if there is any. found is false if no
// members are known.
func Counter(server site.Server, members []view.Member) (counter view.Member, found bool) {
	var best rank
	for _, m := range members {
		r := rank{isNear: m.Zone == server.Zone, hash: xxhash.Sum64String(string(server.ID) + "\n" + m.Node)}
		if !found || r.isAbove(best) {
			counter, best, found = m, r, true
		}
	}
	return counter, found
}

// rank orders the nodes for a server.
type rank struct {
	isNear bool
	hash   uint64
}

func (r rank) isAbove(other rank) bool {
	if r.isNear != other.isNear {
		return r.isNear
	}
	return r.hash > other.hash
}

// burst is the number of requests that may be sent at once. It is small, because three nodes may
// count for a server while their lists of members differ.
const burst = 2.0

// Budget is the part of a cold server's requests that is not used yet. Its zero value is full.
type Budget struct {
	spent     float64 // as of updatedAt
	updatedAt time.Time
}

// Has reports whether a request may be sent now, at a rate in requests a second.
func (b *Budget) Has(rate float64, now time.Time) bool { return b.spentAt(rate, now) <= burst-1 }

// Spend records that a request is sent now.
func (b *Budget) Spend(rate float64, now time.Time) {
	b.spent = b.spentAt(rate, now) + 1
	b.updatedAt = now
}

// NextAt returns when the next request may be sent.
func (b *Budget) NextAt(rate float64, now time.Time) time.Time {
	missing := max(b.spentAt(rate, now)-(burst-1), 0)
	return now.Add(time.Duration(missing / rate * float64(time.Second)))
}

func (b *Budget) spentAt(rate float64, now time.Time) float64 {
	return max(0, b.spent-rate*now.Sub(b.updatedAt).Seconds())
}
