package histcheck

import (
	"fmt"
	"slices"
	"sort"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// SoleOwner finds moments at which two servers owned the same key. It uses only the
// servers' own records: overlapping owner intervals, a committed run outside its
// server's ownership, and runs of one key whose fences decrease.
func SoleOwner(events []history.Event) []Violation {
	var found []Violation
	intervals := history.Select[history.OwnerInterval](events)
	found = append(found, overlappingIntervals(intervals)...)
	runs := collectRuns(events)
	found = append(found, runsOutsideOwnership(runs, intervals)...)
	found = append(found, runsUnderLowerFence(runs)...)
	return found
}

// hashRange identifies a hash range together with the keys split out of it.
type hashRange struct {
	service topo.Service
	index   uint32
}

// overlappingIntervals compares the intervals of each hash range, and of the keys
// split out of it, in order of their start.
func overlappingIntervals(intervals []history.OwnerInterval) []Violation {
	byRange := map[hashRange][]history.OwnerInterval{}
	for _, interval := range intervals {
		if interval.From < interval.Until {
			of := hashRange{interval.Shard.Service, interval.Shard.Index}
			byRange[of] = append(byRange[of], interval)
		}
	}
	var found []Violation
	for _, group := range byRange {
		sort.SliceStable(group, func(i, j int) bool { return group[i].From < group[j].From })
		found = append(found, sweep(group)...)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].At < found[j].At })
	return found
}

func sweep(sorted []history.OwnerInterval) []Violation {
	var found []Violation
	var open []history.OwnerInterval
	for _, next := range sorted {
		open = slices.DeleteFunc(open, func(earlier history.OwnerInterval) bool {
			return earlier.Until <= next.From
		})
		for _, earlier := range open {
			if sameRun(earlier, next) || !shareKey(earlier, next) {
				continue
			}
			found = append(found, Violation{
				Rule:    RuleSoleOwner,
				At:      next.From,
				Subject: next.Shard.String(),
				Detail: fmt.Sprintf("%s@%s under %s until %v, and %s@%s under %s from %v",
					earlier.Server, earlier.Boot, earlier.Fence, earlier.Until.Sub(0),
					next.Server, next.Boot, next.Fence, next.From.Sub(0)),
			})
		}
		open = append(open, next)
	}
	return found
}

func sameRun(a, b history.OwnerInterval) bool { return a.Server == b.Server && a.Boot == b.Boot }

// shareKey reports whether two intervals of one hash range cover a common key.
func shareKey(a, b history.OwnerInterval) bool {
	switch {
	case a.Shard.Key == "" && b.Shard.Key == "":
		return true
	case a.Shard.Key == "":
		return !slices.Contains(a.Except, b.Shard.Key)
	case b.Shard.Key == "":
		return !slices.Contains(b.Except, a.Shard.Key)
	}
	return a.Shard.Key == b.Shard.Key
}

// ownership identifies the ownership of a shard by one incarnation of a server under a fence.
type ownership struct {
	server topo.ServerID
	boot   topo.BootID
	shard  topo.ShardID
	fence  topo.Fence
}

// runsOutsideOwnership finds committed runs that began when their server did
// not own the shard under the run's fence.
func runsOutsideOwnership(runs []run, intervals []history.OwnerInterval) []Violation {
	spans := map[ownership][]history.OwnerInterval{}
	for _, interval := range intervals {
		key := ownership{interval.Server, interval.Boot, interval.Shard, interval.Fence}
		spans[key] = append(spans[key], interval)
	}
	var found []Violation
	for _, r := range runs {
		if !r.committed() || r.began.Shard == (topo.ShardID{}) {
			continue
		}
		if ownedBy(spans, r.began) {
			continue
		}
		found = append(found, Violation{
			Rule:    RuleSoleOwner,
			At:      r.began.At,
			Subject: r.began.Shard.String(),
			Detail:  fmt.Sprintf("%s ran %s under %s without owning the shard", r.began.Server, r.began.RequestID, r.began.Fence),
		})
	}
	return found
}

// ownedBy reports whether a run began within an interval in which its server owned the
// shard or, for a run in flight when the shard was revoked, the run's key.
func ownedBy(spans map[ownership][]history.OwnerInterval, began history.RunBegan) bool {
	name := ownership{began.Server, began.Boot, began.Shard, began.Fence}
	if covered(spans[name], began.At) {
		return true
	}
	name.shard.Key = began.Key
	return covered(spans[name], began.At)
}

func covered(spans []history.OwnerInterval, at history.Time) bool {
	for _, span := range spans {
		if span.From <= at && at <= span.Until {
			return true
		}
	}
	return false
}

// runsUnderLowerFence finds, for each key, committed runs that had not ended when a run
// under a higher fence began, and fences used by two servers.
func runsUnderLowerFence(runs []run) []Violation {
	var found []Violation
	for key, group := range runsByKey(runs) {
		highest := group[0].began
		for _, r := range group[1:] {
			sameServer := r.began.Server == highest.Server && r.began.Boot == highest.Boot
			switch {
			case r.began.Fence.Less(highest.Fence) && r.committed():
				found = append(found, fenceViolation(key, highest, r))
			case r.began.Fence == highest.Fence && !sameServer:
				found = append(found, fenceViolation(key, highest, r))
			case highest.Fence.Less(r.began.Fence):
				highest = r.began
			}
		}
		found = append(found, unfinishedBelow(key, group)...)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].At < found[j].At })
	return found
}

// unfinishedBelow finds committed runs during which a run of another server
// under a higher fence began.
func unfinishedBelow(key serviceKey, group []run) []Violation {
	var found []Violation
	for i, low := range group {
		if !low.committed() {
			continue
		}
		for _, high := range group[i+1:] {
			if high.began.At >= low.ended.At {
				break
			}
			if low.began.Fence.Less(high.began.Fence) && low.began.Server != high.began.Server {
				found = append(found, fenceViolation(key, high.began, low))
			}
		}
	}
	return found
}

func fenceViolation(key serviceKey, highest history.RunBegan, r run) Violation {
	return Violation{
		Rule:    RuleSoleOwner,
		At:      r.began.At,
		Subject: key.String(),
		Detail: fmt.Sprintf("%s@%s ran %s under %s, and %s@%s ran %s under %s at %v",
			r.began.Server, r.began.Boot, r.began.RequestID, r.began.Fence,
			highest.Server, highest.Boot, highest.RequestID, highest.Fence, highest.At.Sub(0)),
	}
}
