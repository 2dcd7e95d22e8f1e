package histcheck

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/history"
)

// Rule names one invariant.
type Rule string

// Rules.
const (
	// RuleSoleOwner: a shard has at most one owning server at any moment.
	RuleSoleOwner Rule = "sole-owner"
	// RuleAtMostOnce: a ticket, or a non-idempotent attempt, runs at most once.
	RuleAtMostOnce Rule = "at-most-once"
	// RuleWholeAnswer: a caller gets the whole answer to its own request.
	RuleWholeAnswer Rule = "whole-answer"
	// RuleNotRun: a request that was refused as "not run" did not run.
	RuleNotRun Rule = "not-run"
	// RuleAssignments: an acknowledged assignment is not lost, and a fence has one
	// owner.
	RuleAssignments Rule = "assignments"
	// RuleSiteVersions: a site configuration is published by compare-and-set,
	// and never reverts at any node.
	RuleSiteVersions Rule = "site-versions"
)

// Violation is one detected breach of a rule.
type Violation struct {
	Rule    Rule
	At      history.Time // when it was detected; 0 if it has no single moment
	Subject string       // shard, key, ticket, request or node
	Detail  string
}

// String renders the violation for people.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s: %s", v.Rule, v.At.Sub(0), v.Subject, v.Detail)
}

// Count returns how many violations are of a rule.
func Count(violations []Violation, rule Rule) int {
	count := 0
	for _, violation := range violations {
		if violation.Rule == rule {
			count++
		}
	}
	return count
}
