package site

import (
	"fmt"
	"strings"
)

// InvalidError reports a configuration that cannot be applied.
type InvalidError struct {
	Version Version
	Route   string
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d, route %q: %s", e.Version, e.Route, e.Problem)
}

// Check returns an *InvalidError for the first fault of the configuration. A
// configuration with a fault is rejected as a whole.
func (c *Config) Check() error {
	for _, route := range c.Routes {
		if problem := c.problem(route); problem != "" {
			return &InvalidError{Version: c.Version, Route: route.Name, Problem: problem}
		}
	}
	return nil
}

func (c *Config) problem(route Route) string {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return "the path prefix must begin and end with a slash"
	}
	if route.Timeout < 0 || route.Target < 0 || route.Attempts < 0 {
		return "timeout, latency target or number of attempts is negative"
	}
	if len(route.Targets) == 0 {
		return "there is no target"
	}
	total := 0
	for _, target := range route.Targets {
		if _, exists := c.Services[target.Service]; !exists {
			return "service " + string(target.Service) + " is not defined"
		}
		if target.Weight < 0 {
			return "the weight of a target is negative"
		}
		total += target.Weight
	}
	if total == 0 {
		return "the weights of all targets are 0"
	}
	return ""
}
