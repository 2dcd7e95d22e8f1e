package ceiling

import "slices"

// bottleneck returns the loss of a service and its causes, or nil without a loss. Causes are found by computing the bound again, first
// with all servers present at all times, then also with none slower than typical. Loss is a value here.
func bottleneck(site *Site, service *Service, bound *plan, seconds []int) *Bottleneck {
	offered, earned := bound.offered(), bound.earned()
	loss := offered - earned
	if len(seconds) == 0 || loss <= 0 {
		return nil
	}
	present := *service
	present.Groups = slices.Clone(service.Groups)
	for i := range present.Groups {
		present.Groups[i].Present = nil
	}
	fast := present
	fast.Groups = slices.Clone(present.Groups)
	for i := range fast.Groups {
		g := &fast.Groups[i]
		g.Speed, g.NoiseShare, g.Slow = max(1, g.Speed), 0, nil
	}
	withAll := max(earned, schedule(site, &present, 1).earned())
	withFast := max(withAll, schedule(site, &fast, 1).earned())
	b := &Bottleneck{Service: service.Name, Loss: loss, Spans: ranges(seconds)}
	b.Missing, b.Slow = snap((withAll-earned)/loss), snap((withFast-withAll)/loss)
	b.Demand = snap(1 - b.Missing - b.Slow)
	return b
}

// ranges joins consecutive seconds.
func ranges(seconds []int) []Range {
	var result []Range
	for _, second := range seconds {
		if last := len(result) - 1; last >= 0 && result[last].To == second-1 {
			result[last].To = second
			continue
		}
		result = append(result, Range{From: second, To: second})
	}
	return result
}
