// Package histcheck judges recorded histories (package history) against what
// must always hold: sole ownership, at-most-once execution, answers that belong
// to their requests, assignments that survive, and site configurations that
// never revert.
//
// Plain checkers go over whole histories in one pass. Porcupine models check
// the same promises as linearizability of per-key histories. Everything is
// pure: a history goes in and violations come out.
package histcheck
