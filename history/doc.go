// Package history records what callers, backend servers and entry nodes did
// during a concurrent run, as typed events on one shared clock. Package
// histcheck judges a history against what must always hold. Recording decides
// nothing: it holds no rule of ownership or of at-most-once.
package history
