// Package ratelimit limits the requests that all nodes of a site together send to a server which takes only
// some a second: it is cold, or names a limit in its answers. With dozens of nodes a share of that for each may
// be less than one request, so a few nodes, or one, count the requests to each such server: only they send
// any, and the others forward to them.
//
// The package has no I/O and no clock.
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Counter returns the node that counts the requests to a server, the same at every node with the same
// members and for each incarnation of the server: one of the server's zone, if there is any. found is false if no
// members are known.
func Counter(server site.Server, members []view.Member) (counter view.Member, found bool) {
	var best rank
	for _, m := range members {
		r := rankOf(m, server)
		if !found || r.compare(best) > 0 {
			counter, best, found = m, r, true
		}
	}
	return counter, found
}

// Counters returns a number of nodes that divide the requests to a server among them: the counter first,
// and others by the same order.
func Counters(server site.Server, members []view.Member, count int) []view.Member {
	type ranked struct {
		view.Member
		rank
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{m, rankOf(m, server)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return b.compare(a.rank) })
	counters := make([]view.Member, 0, count)
	for _, r := range list[:min(count, len(list))] {
		counters = append(counters, r.Member)
	}
	return counters
}

// rank orders the nodes for a server.
type rank struct {
	isNear bool
	hash   uint64
}

func rankOf(m view.Member, server site.Server) rank {
	return rank{isNear: m.Zone == server.Zone, hash: xxhash.Sum64String(string(server.ID.Name()) + "\n" + m.Node)}
}

func (r rank) compare(other rank) int {
	if r.isNear != other.isNear {
		if r.isNear {
			return 1
		}
		return -1
	}
	return cmp.Compare(r.hash, other.hash)
}

// burst is the number of requests that may be sent at once. It is small, because three nodes may
// count for a server while their lists of members differ.
const burst = 2.0

// Budget is the part of the requests to a server that is not used yet. Its zero value is full.
type Budget struct {
	spent     float64 // as of updatedAt
	updatedAt time.Time
}

// Has reports whether a request may be sent now, at a rate in requests a second.
func (b *Budget) Has(rate float64, now time.Time) bool { return b.spentAt(rate, now) <= burst-1 }

// Exhaust empties the budget as of a time, at a rate in requests a second since then. A node that begins to count does
// not know what others, that counted before, have sent until then. What it has sent itself still counts.
func (b *Budget) Exhaust(rate float64, asOf time.Time) {
	if since := b.updatedAt.Sub(asOf); since > 0 {
		b.spent = max(b.spent, burst-rate*since.Seconds())
		return
	}
	b.spent, b.updatedAt = burst, asOf
}

// Postpone takes back what has become free in a time; not positive: nothing.
func (b *Budget) Postpone(duration time.Duration) { b.updatedAt = b.updatedAt.Add(max(duration, 0)) }

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
