package lessor

// Idle reports whether the passage of time alone causes no action of this
// member, so that the driver need not call Plan before the state changes or
// another input arrives.
//
// A member without a part in its group acts by itself only when it is a
// watcher, or when the group may have neither a lessor nor a standby lessor: a
// claim then waits for the member's turn and for log contact, which come with
// time alone.
func (m *Member) Idle() bool {
	if !m.observed || m.role != RoleNone || m.isWatcher || m.claim.pending() {
		return false
	}
	return !m.facts.Group.Term.IsZero() && !m.lessorGone.set && !m.watch.hasFailures()
}

// hasFailures reports whether the latest probe of any node failed.
func (w *watch) hasFailures() bool {
	for id := range w.nodes {
		if w.failed(id) {
			return true
		}
	}
	return false
}
