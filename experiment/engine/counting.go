package engine

import "github.com/burdockspindle/burdockspindle/balance"

// countingPolicy collects the moves and counts the probes of a policy.
type countingPolicy struct {
	balance.Policy
	probes int
	moves  []balance.Move
}

// Decide implements balance.Policy.
func (p *countingPolicy) Decide(in *balance.Input) []balance.Move {
	moves := p.Policy.Decide(in)
	p.probes += in.Probed
	p.moves = append(p.moves, moves...)
	return moves
}
