// Package histcheck checks recorded histories (package history) against the system's
// invariants: sole ownership, at-most-once execution, answers that belong
// to their requests, assignments that are not lost, and site configurations that
// never revert.
//
// Plain checkers process a whole history in one pass. Porcupine models check
// the same invariants as linearizability of per-key histories. All checks are
// pure functions from a history to violations.
package histcheck
