package balance

// RatePush is Push with a fixed budget of probes. In each probe, one random
// overloaded server examines one random other server and moves a single
// candidate to it if the other server is at or below the low threshold. No probe
// is made while no server is overloaded. This is the rate-based push of "On a
// Class of Push and Pull Strategies with Single Migrations and Limited Probe
// Rate", with the budget of a decision in place of its overall probe rate.
type RatePush struct {
	// Tuning replaces the defaults of the input's weighting when not nil.
	Tuning *Tuning
}

// RatePull is Pull with a fixed budget of probes. In each probe, one random
// underloaded server examines one random other server and takes a single
// candidate from it if the other server is overloaded. See RatePush for the
// source of the algorithm.
type RatePull struct {
	// Tuning replaces the defaults of the input's weighting when not nil.
	Tuning *Tuning
}

// Name implements Policy.
func (RatePush) Name() string { return "ratepush" }

// Name implements Policy.
func (RatePull) Name() string { return "ratepull" }

// Decide implements Policy.
func (p RatePush) Decide(in *Input) []Move {
	b := newBalancer(in, tuningFor(in, p.Tuning))
	b.mandatoryMoves()
	b.probe(b.overloaded, func(prober, probed int) {
		if b.underloaded(probed) {
			b.moveProbed(prober, probed)
		}
	})
	return b.moves
}

// Decide implements Policy.
func (p RatePull) Decide(in *Input) []Move {
	b := newBalancer(in, tuningFor(in, p.Tuning))
	b.mandatoryMoves()
	b.probe(b.underloaded, func(prober, probed int) {
		if b.overloaded(probed) {
			b.moveProbed(probed, prober)
		}
	})
	return b.moves
}

func (b *balancer) moveProbed(from, to int) {
	if best, found := b.bestCandidate(from, to); found {
		b.moveCandidate(best, to)
	}
}

// probe uses up the probe budget. In each probe, a random server that satisfies
// isProber examines a random other live server, and migrate moves load between
// the two if appropriate.
func (b *balancer) probe(isProber func(int) bool, migrate func(prober, probed int)) {
	b.in.Probed = 0
	live := b.byUtilization(b.live, false)
	if len(live) < 2 {
		return
	}
	for b.in.Probed < b.in.Budget.Probes && b.movesLeft() {
		probers := b.byUtilization(isProber, false)
		if len(probers) == 0 {
			return
		}
		prober := probers[b.in.Rand.IntN(len(probers))]
		probed := live[b.in.Rand.IntN(len(live))]
		if probed == prober {
			continue
		}
		b.in.Probed++
		migrate(prober, probed)
	}
}
