package ceiling

import "slices"

// split cuts a span at the edges that are within it.
func split(span Span, edges []float64) []Span {
	slices.Sort(edges)
	var parts []Span
	from := span.From
	for _, edge := range edges {
		if edge > from && edge < span.Until {
			parts = append(parts, Span{from, edge})
			from = edge
		}
	}
	return append(parts, Span{from, span.Until})
}

// mean returns the mean over the span of a function that is constant between edges.
func mean(span Span, edges []float64, at func(t float64) float64) float64 {
	total := 0.0
	for _, part := range split(span, edges) {
		total += at(part.middle()) * part.length()
	}
	return total / span.length()
}

func spanEdges(spans []Span) []float64 {
	var edges []float64
	for _, span := range spans {
		edges = append(edges, span.From, span.Until)
	}
	return edges
}
