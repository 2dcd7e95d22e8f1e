package ranges

import "time"

// Acceptance tells which ranges have been renewed from a time on. A lessor whose renewals are accepted knows that
// no other one has taken over: that would first have granted every range under a higher fence.
type Acceptance struct {
	Ranges   int  // with an owner
	Accepted int  // of which a renewal that was sent since has been accepted
	Pending  int  // of which the next renewal is expected to be accepted
	Fenced   bool // an owner has refused a renewal because it has seen a higher fence
}

// IsComplete reports whether every owner that responds has accepted a renewal, and most have.
func (a Acceptance) IsComplete() bool {
	return !a.Fenced && a.Pending == 0 && 2*a.Accepted >= a.Ranges
}

// AcceptedSince returns which ranges have been renewed by grants that were sent from a time on.
func (alloc *Allocator) AcceptedSince(since time.Time) Acceptance {
	a := Acceptance{Fenced: alloc.fencedAt.After(since)}
	for _, leases := range alloc.leases {
		for _, l := range leases {
			isRenewed := l.phase == granting && l.failures == 0 && !l.raiseFence && !l.appendPending
			switch {
			case l.Server == "":
				continue
			case !l.acceptedAt.Before(since):
				a.Accepted++
			case isRenewed:
				a.Pending++
			}
			a.Ranges++
		}
	}
	return a
}

// Discard drops a change whose append will have no effect. Its ranges are renewed and planned again.
func (alloc *Allocator) Discard() {
	for _, leases := range alloc.leases {
		for _, l := range leases {
			l.appendPending = false
		}
	}
}

// Reissue returns a change that raises the fence of every range and keeps the owners. Releases are undone, since
// the owner gets its range again.
func (alloc *Allocator) Reissue(fence Fence, now time.Time) *Change {
	change := &Change{}
	for _, leases := range alloc.leases {
		for _, l := range leases {
			next := l.Assignment
			next.Fence = fence
			alloc.change(change, l, next, now)
		}
	}
	change.Table = alloc.tableWith(change)
	return change
}
