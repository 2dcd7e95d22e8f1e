package limit

// precedence decides between nested entries, which a service requests while it
// serves a request, and callers' own entries. Nested entries take precedence
// because the request that waits for one holds a slot at another server, and work
// has already been spent on it. While callers' own entries wait, they get at least
// one of every maxNestedRun+1 slots, so that a service with many nested requests
// still serves them.
type precedence struct {
	nested      int // waiting nested entries
	own         int // waiting entries of callers' own
	nestedInRow int // nested entries granted since the last of callers' own
}

// maxNestedRun is the maximum number of nested entries that are granted in a row
// while callers' own entries wait.
const maxNestedRun = 3

func (t *precedence) add(key shareKey, count int) {
	if key.nested {
		t.nested += count
		return
	}
	t.own += count
}

// nextNested reports whether the next slot goes to a nested entry, and records
// the decision. At least one entry must be waiting.
func (t *precedence) nextNested() (nested bool) {
	if t.nested == 0 || (t.own > 0 && t.nestedInRow >= maxNestedRun) {
		t.nestedInRow = 0
		return false
	}
	t.nestedInRow++
	return true
}

// otherKindBefore returns how many entries of the other kind are granted before
// the entry at a position among the entries of one kind.
func (t *precedence) otherKindBefore(nested bool, position int) int {
	if nested {
		return min(t.own, position/maxNestedRun)
	}
	return min(t.nested, maxNestedRun*(position+1))
}
