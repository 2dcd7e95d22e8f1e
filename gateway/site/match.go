package site

import (
	"cmp"
	"slices"
	"strings"
)

// Index prepares the configuration for Match and returns it. It is called once,
// before the configuration is shared.
func (c *Config) Index() *Config {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of a host with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[withoutPort(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// withoutPort returns the value of a Host header without its port.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
