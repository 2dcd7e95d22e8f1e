package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Compaction keeps the number of ranges close to the number of servers, because each range
// is granted again every Timing.Renew and moves of busy keys leave small pieces behind.
// Adjacent ranges of one owner are merged, and an idle piece moves to the owner of an
// adjacent range.
const (
	// compactInterval is the minimum time between two compactions of a service, each of
	// which is an append.
	compactInterval = 2 * time.Second
	// settleTime is how long ranges must have had their owner before they are compacted.
	settleTime = 4 * time.Second
	// idleUtilization is the utilization at or below which a piece may move to a neighbour.
	idleUtilization = 0.02
	// maxReturnedPieces is the maximum number of idle pieces that start to move per
	// compaction.
	maxReturnedPieces = 16
)

// settled reports whether a range has had its owner for settleTime and has no operation in
// progress.
func (l *rangeState) settled(now time.Time) bool {
	return l.canRelease(now) && l.Server != "" && now.Sub(l.movedAt) >= settleTime
}

// compact merges adjacent ranges of one owner and starts to move idle pieces.
func (alloc *Allocator) compact(service site.ServiceName, s Site, fence Fence, now time.Time, change *Change) {
	if now.Sub(alloc.compactedAt[service]) < compactInterval {
		return
	}
	alloc.compactedAt[service] = now
	alloc.returnIdlePieces(service, s, now)
	alloc.merge(service, fence, now, change)
}

// returnIdlePieces starts to move idle pieces to the owner of an adjacent range. A server
// keeps at least one range.
func (alloc *Allocator) returnIdlePieces(service site.ServiceName, s Site, now time.Time) {
	leases := alloc.leases[service]
	ranges := map[site.ServerID]int{}
	for _, l := range leases {
		ranges[l.Server]++
	}
	returned := 0
	for i, piece := range leases {
		if returned == maxReturnedPieces {
			return
		}
		if ranges[piece.Server] < 2 || !piece.settled(now) || alloc.utilization(service, s, piece) > idleUtilization {
			continue
		}
		to := neighbour(leases, i, s, now)
		if to == nil {
			continue
		}
		ranges[piece.Server]--
		alloc.startRelease(piece, to.Server, now)
		returned++
	}
}

// neighbour returns the adjacent range whose owner may also get the range at index i, or
// nil. If both neighbours have the same owner, all three ranges are merged later.
func neighbour(leases []*rangeState, i int, s Site, now time.Time) *rangeState {
	var best *rangeState
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(leases) {
			continue
		}
		l := leases[j]
		if l.settled(now) && l.Server != leases[i].Server && !l.leaving(s) && (best == nil || l.Keys() > best.Keys()) {
			best = l
		}
	}
	return best
}

// utilization returns the utilization that a range causes at its owner.
func (alloc *Allocator) utilization(service site.ServiceName, s Site, l *rangeState) float64 {
	if s.Load == nil {
		return 0
	}
	serviceTime, known := s.Load.serviceTimes[l.Server]
	if !known {
		serviceTime = defaultServiceTime
	}
	return s.Load.rate(service, l.Span) * serviceTime / float64(max(s.Servers[l.Server].Slots, 1))
}

// merge merges adjacent ranges of one owner into one range under a new fence.
func (alloc *Allocator) merge(service site.ServiceName, fence Fence, now time.Time, change *Change) {
	leases := alloc.leases[service]
	for i := 0; i < len(leases); {
		first, end := leases[i], i+1
		for end < len(leases) && leases[end].Server == first.Server && first.settled(now) && leases[end].settled(now) {
			end++
		}
		if end-i > 1 {
			alloc.mergeNeighbours(service, slices.Clone(leases[i:end]), fence, now, change)
		}
		i = end
	}
}

func (alloc *Allocator) mergeNeighbours(service site.ServiceName, neighbours []*rangeState, fence Fence, now time.Time, change *Change) {
	first, last := neighbours[0], neighbours[len(neighbours)-1]
	heldUntil, earlierUntil := first.inForceUntil(), first.earlierInForceUntil()
	for _, l := range neighbours {
		l.appendPending = true
		heldUntil = clock.Later(heldUntil, l.inForceUntil())
		earlierUntil = clock.Later(earlierUntil, l.earlierInForceUntil())
	}
	merged := &rangeState{
		Assignment:              Assignment{Span: Span{From: first.From, To: last.To}, Server: first.Server, Fence: fence},
		service:                 service,
		heldUntil:               heldUntil,
		earlierIncarnationUntil: earlierUntil,
		movedAt:                 now.Add(-settleTime),
		ownerKept:               true,
	}
	change.apply = append(change.apply, func() {
		leases := slices.DeleteFunc(slices.Clone(alloc.leases[service]), func(l *rangeState) bool { return slices.Contains(neighbours, l) })
		alloc.leases[service] = sortByKey(append(leases, merged))
		alloc.serial++
	})
}
