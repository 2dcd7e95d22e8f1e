package ranges

// maxEdgeKeys is the maximum number of keys that are taken from the edge of a range. Beyond
// it, fewer keys are taken from the middle instead: each key that moves is not served for a
// moment, and two more pieces matter little on a site with ranges that long.
const maxEdgeKeys = (int(LastKey) + 1) / 256

// selectPart finds a part of a server's ranges that carries about want requests a second.
// It prefers a part at the edge of a range, because a part in the middle leaves two pieces
// behind. Each piece is renewed, and an overloaded server answers few renewals in time.
func (r *round) selectPart(from *usage, want float64) (best *rangeState, span Span, rate float64, found bool) {
	best, span, rate, found = r.shortestPart(from, want, edgePart)
	if found && span.Keys() <= maxEdgeKeys {
		return best, span, rate, found
	}
	return r.shortestPart(from, want, windowPart)
}

// shortestPart returns the shortest part of a server's ranges that the rule finds.
func (r *round) shortestPart(from *usage, want float64, rule func(*keyRates, Span, float64) (Span, float64, bool)) (best *rangeState, span Span, rate float64, found bool) {
	for _, l := range from.leases {
		if !r.movable(l, from) {
			continue
		}
		rates, factor := r.weights(l)
		part, carried, ok := rule(rates, l.Span, want/factor)
		if ok && (!found || part.Keys() < span.Keys()) {
			best, span, rate, found = l, part, carried*factor, true
		}
	}
	return best, span, rate, found
}

// edgePart returns the shorter of the two parts at the ends of a span whose load is close
// to want.
func edgePart(keys *keyRates, span Span, want float64) (best Span, carried float64, found bool) {
	first, sum := countFromEdge(keys, span.From, 1, span.Keys(), want)
	last, sumLast := countFromEdge(keys, span.To, -1, span.Keys(), want)
	fromStart, fromEnd := sum >= minShare*want, sumLast >= minShare*want
	switch {
	case fromStart && (first <= last || !fromEnd):
		return Span{From: span.From, To: span.From + Key(first) - 1}, sum, true
	case fromEnd:
		return Span{From: span.To - Key(last) + 1, To: span.To}, sumLast, true
	}
	return Span{}, 0, false
}

// countFromEdge counts the keys from the edge of a span whose combined load reaches want,
// without exceeding maxShare*want.
func countFromEdge(keys *keyRates, edge, step Key, most int, want float64) (count int, sum float64) {
	for ; count < most && sum < want; count++ {
		weight := keys.of(edge + step*Key(count))
		if sum+weight > maxShare*want {
			break
		}
		sum += weight
	}
	return count, sum
}

// windowPart returns the shortest window of a span whose load is close to want.
func windowPart(keys *keyRates, span Span, want float64) (Span, float64, bool) {
	var best Span
	var carried, sum float64
	found := false
	from := span.From
	for to := span.From; to <= span.To; to++ {
		sum += keys.of(to)
		for from < to && sum-keys.of(from) >= minShare*want {
			sum -= keys.of(from)
			from++
		}
		if sum < minShare*want || sum > maxShare*want {
			continue
		}
		candidate := Span{From: from, To: to}
		if !found || candidate.Keys() < best.Keys() {
			best, carried, found = candidate, sum, true
		}
	}
	return best, carried, found
}
