package site

import "slices"

// PrioritiesByService returns the distinct priorities of the routes that send requests to each service, most urgent first.
func (c *Config) PrioritiesByService() map[ServiceName][]int {
	priorities := map[ServiceName][]int{}
	for i := range c.Routes {
		route := &c.Routes[i]
		for _, target := range route.Targets {
			known := priorities[target.Service]
			if (target.Weight > 0 || len(route.Targets) == 1) && !slices.Contains(known, route.Priority) {
				priorities[target.Service] = append(known, route.Priority)
			}
		}
	}
	for _, of := range priorities {
		slices.Sort(of)
	}
	return priorities
}
