package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Compaction keeps the number of ranges near that of the servers: each range is
// granted again every Timing.Renew, and moves of busy keys leave pieces behind.
// Neighbours of one owner become one range, and an idle piece goes to the owner of a
// range beside it.
const (
	// compactEvery is the least time between two compactions of a service, each of
	// which is an append.
	compactEvery = 2 * time.Second
	// settledFor is for how long ranges must have had their owner.
	settledFor = 4 * time.Second
	// idleUse is the utilisation below which a piece may go back.
	idleUse = 0.02
	// piecesPerRound bounds the pieces that go back at once.
	piecesPerRound = 16
)

// settled reports whether a range has had its owner for long and nothing is
// under way with it.
func (l *lease) settled(now time.Time) bool {
	return l.canRelease(now) && l.Server != "" && now.Sub(l.movedAt) >= settledFor
}

// compact merges neighbours of one owner and starts to give idle pieces back.
func (k *Allocator) compact(service site.ServiceName, s Site, at Fence, now time.Time, change *Change) {
	if now.Sub(k.compactedAt[service]) < compactEvery {
		return
	}
	k.compactedAt[service] = now
	k.giveBack(service, s, now)
	k.merge(service, at, now, change)
}

// giveBack starts to move idle pieces to the owner of a neighbour. A server keeps one
// range at least.
func (k *Allocator) giveBack(service site.ServiceName, s Site, now time.Time) {
	leases := k.leases[service]
	ranges := map[site.ServerID]int{}
	for _, l := range leases {
		ranges[l.Server]++
	}
	given := 0
	for i, piece := range leases {
		if given == piecesPerRound {
			return
		}
		if ranges[piece.Server] < 2 || !piece.settled(now) || k.use(service, s, piece) > idleUse {
			continue
		}
		to := neighbour(leases, i, s, now)
		if to == nil {
			continue
		}
		ranges[piece.Server]--
		k.startRelease(piece, to.Server, now)
		given++
	}
}

// neighbour returns the range beside another one whose owner may get that too, or nil.
// Where both have the same owner the three become one.
func neighbour(leases []*lease, i int, s Site, now time.Time) *lease {
	var best *lease
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

// use returns the utilisation that a range causes at its owner.
func (k *Allocator) use(service site.ServiceName, s Site, l *lease) float64 {
	if s.Load == nil {
		return 0
	}
	pace, known := s.Load.paces[l.Server]
	if !known {
		pace = defaultPace
	}
	return s.Load.rate(service, l.Span) * pace / float64(max(s.Servers[l.Server].Slots, 1))
}

// merge makes neighbours of one owner one range under a new fence.
func (k *Allocator) merge(service site.ServiceName, at Fence, now time.Time, change *Change) {
	leases := k.leases[service]
	for i := 0; i < len(leases); {
		first, end := leases[i], i+1
		for end < len(leases) && leases[end].Server == first.Server && first.settled(now) && leases[end].settled(now) {
			end++
		}
		if end-i > 1 {
			k.mergeRun(service, slices.Clone(leases[i:end]), at, now, change)
		}
		i = end
	}
}

func (k *Allocator) mergeRun(service site.ServiceName, run []*lease, at Fence, now time.Time, change *Change) {
	first, last := run[0], run[len(run)-1]
	heldUntil, earlierUntil := first.held(), first.earlier()
	for _, l := range run {
		l.pending = true
		heldUntil = clock.Later(heldUntil, l.held())
		earlierUntil = clock.Later(earlierUntil, l.earlier())
	}
	merged := &lease{
		Assignment:   Assignment{Span: Span{From: first.From, To: last.To}, Server: first.Server, Fence: at},
		service:      service,
		heldUntil:    heldUntil,
		earlierUntil: earlierUntil,
		movedAt:      now.Add(-settledFor),
		kept:         true,
	}
	change.apply = append(change.apply, func() {
		leases := slices.DeleteFunc(slices.Clone(k.leases[service]), func(l *lease) bool { return slices.Contains(run, l) })
		k.leases[service] = sorted(append(leases, merged))
		k.serial++
	})
}
