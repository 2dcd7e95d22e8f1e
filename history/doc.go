// Package history records what callers, backend servers and entry nodes did
// during a concurrent run, as typed events on one shared clock. Package
// histcheck checks a history against the system's invariants. This package only
// records: it contains no rules of ownership or of at-most-once execution.
package history
