package limit

// precedence decides between nested entries, which a service asks for while it
// serves a request, and callers' own. A nested entry goes first: its request
// holds a place at another server for as long as it waits, and has had work
// spent on it. Of every nestedRun+1 places at least one goes to callers' own, so
// that a service which is called much still serves them.
type precedence struct {
	nested      int // waiting
	own         int // waiting
	nestedInRow int // nested ones granted since the latest of callers' own
}

// maxNestedRun is how many nested entries are granted in a row while callers' own
// wait.
const maxNestedRun = 3

func (t *precedence) add(key shareKey, count int) {
	if key.nested {
		t.nested += count
		return
	}
	t.own += count
}

// nextNested decides which kind gets the next place; something must wait.
func (t *precedence) nextNested() (nested bool) {
	if t.nested == 0 || (t.own > 0 && t.nestedInRow >= maxNestedRun) {
		t.nestedInRow = 0
		return false
	}
	t.nestedInRow++
	return true
}

// otherKindBefore returns how many entries of the other kind are granted while so many
// of one kind are, and before the one after them.
func (t *precedence) otherKindBefore(nested bool, position int) int {
	if nested {
		return min(t.own, position/maxNestedRun)
	}
	return min(t.nested, maxNestedRun*(position+1))
}
