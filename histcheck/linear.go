package histcheck

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Result is the outcome of a search for a linearization.
type Result int

// Results.
const (
	// Linearizable: the history can be explained by one order of operations.
	Linearizable Result = iota + 1
	// NotLinearizable: no order explains the history.
	NotLinearizable
	// Undecided: the search took longer than its limit.
	Undecided
)

// String names the result.
func (r Result) String() string {
	switch r {
	case Linearizable:
		return "linearizable"
	case NotLinearizable:
		return "not linearizable"
	}
	return "undecided"
}

// never is the return time of an operation whose outcome its client does not know: it
// may take effect at any later moment. One that never takes effect can be
// ordered after every observed operation.
const never int64 = math.MaxInt64

// search looks for a linearization for at most limit; 0 means no limit.
func search(model porcupine.Model, operations []porcupine.Operation, limit time.Duration) Result {
	switch porcupine.CheckOperationsTimeout(model, operations, limit) {
	case porcupine.Ok:
		return Linearizable
	case porcupine.Illegal:
		return NotLinearizable
	}
	return Undecided
}

// partitionBy groups operations by the result of name for their input.
func partitionBy[K comparable](name func(input any) K) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(operations []porcupine.Operation) [][]porcupine.Operation {
		var order []K
		parts := map[K][]porcupine.Operation{}
		for _, operation := range operations {
			key := name(operation.Input)
			if _, seen := parts[key]; !seen {
				order = append(order, key)
			}
			parts[key] = append(parts[key], operation)
		}
		partitions := make([][]porcupine.Operation, 0, len(order))
		for _, key := range order {
			partitions = append(partitions, parts[key])
		}
		return partitions
	}
}
