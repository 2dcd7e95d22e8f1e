package histcheck

import (
	"cmp"
	"math"
	"slices"
)

// isLinearizable reports whether the operations on one counter have a total order that
// explains every answer.
//
// An answered write with value v is the v-th write, and a read with value v
// follows it and precedes the next write. Positions without an answered write belong
// to writes without an answer, which differ only in their send times: the
// earlier position gets the write that was sent earlier, and the remaining writes take effect
// after every observed operation. Then each operation takes effect as early as possible.
func isLinearizable(operations []counterOperation) bool {
	positions, fits := orderWrites(operations)
	if !fits {
		return false
	}
	reads := readsByValue(operations)
	at := int64(math.MinInt64)
	for value := range uint64(len(positions)) + 1 {
		if value > 0 {
			write := positions[value-1]
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

// orderWrites returns the writes in order, up to the highest value seen; false
// if a position has no write or two writes.
func orderWrites(operations []counterOperation) ([]counterOperation, bool) {
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
	positions := make([]counterOperation, 0, highest)
	for value := uint64(1); value <= highest; value++ {
		write, known := answered[value]
		if !known {
			if len(unanswered) == 0 {
				return nil, false
			}
			write, unanswered = unanswered[0], unanswered[1:]
		}
		positions = append(positions, write)
	}
	return positions, true
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
