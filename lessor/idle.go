package lessor

// Rests reports whether the time alone gives this member nothing to do, so that
// it need not look again before the state changes or something is told.
//
// A member without a part in its group acts by itself only when it watches, or
// when the group may have neither a lessor nor a standby lessor: claims wait
// for the member's turn and for log contact, which time alone brings.
func (m *Member) Rests() bool {
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
