package histcheck

import (
	"cmp"
	"math"
	"slices"
)

// ordered reports whether operations on one counter can be put in one order that
// explains every answer.
//
// An answered write with value v is the v-th of all writes, and a read with value v
// stands after it and before the next. The places that no answered write takes are
// those of writes without an answer, which differ only in when they were sent: the
// earlier place gets the one that was sent earlier, and what is left over takes effect
// after everything that anybody saw. Then each takes effect as early as it can.
func ordered(operations []counterOperation) bool {
	places, fits := placeWrites(operations)
	if !fits {
		return false
	}
	reads := readsByValue(operations)
	at := int64(math.MinInt64)
	for value := range uint64(len(places)) + 1 {
		if value > 0 {
			write := places[value-1]
			at = max(at, write.sent)
			if at > write.returned {
				return false
			}
		}
		latest := at
		for _, read := range reads[value] {
			seen := max(at, read.sent)
			if seen > read.returned {
				return false
			}
			latest = max(latest, seen)
		}
		at = latest
	}
	return true
}

// placeWrites returns the writes in their order, up to the highest value seen; false
// if there is no write for a place, or are two.
func placeWrites(operations []counterOperation) ([]counterOperation, bool) {
	var unanswered []counterOperation
	answered := map[uint64]counterOperation{}
	highest := uint64(0)
	for _, o := range operations {
		if !o.result.answered {
			unanswered = append(unanswered, o)
			continue
		}
		highest = max(highest, o.result.value)
		if !o.write {
			continue
		}
		if _, taken := answered[o.result.value]; taken || o.result.value == 0 {
			return nil, false
		}
		answered[o.result.value] = o
	}
	if highest > uint64(len(answered)+len(unanswered)) {
		return nil, false
	}
	slices.SortFunc(unanswered, func(a, b counterOperation) int { return cmp.Compare(a.sent, b.sent) })
	places := make([]counterOperation, 0, highest)
	for value := uint64(1); value <= highest; value++ {
		write, known := answered[value]
		if !known {
			if len(unanswered) == 0 {
				return nil, false
			}
			write, unanswered = unanswered[0], unanswered[1:]
		}
		places = append(places, write)
	}
	return places, true
}

// readsByValue groups the answered reads.
func readsByValue(operations []counterOperation) map[uint64][]counterOperation {
	reads := map[uint64][]counterOperation{}
	for _, o := range operations {
		if !o.write {
			reads[o.result.value] = append(reads[o.result.value], o)
		}
	}
	return reads
}
