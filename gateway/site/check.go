package site

import (
	"fmt"
	"strings"
)

// InvalidError reports a configuration that cannot be put in force.
type InvalidError struct {
	Version Version
	Route   string
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d, route %q: %s", e.Version, e.Route, e.Problem)
}

// Check reports the first fault that would make a configuration impossible to
// serve. Nothing of a faulty configuration is put in force.
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
		return "the path prefix does not begin and end with a slash"
	}
	if route.Timeout < 0 || route.Target < 0 || route.Attempts < 0 {
		return "a time or a number is negative"
	}
	if len(route.Targets) == 0 {
		return "it has no service"
	}
	total := 0
	for _, target := range route.Targets {
		if _, exists := c.Services[target.Service]; !exists {
			return "its service " + string(target.Service) + " is not defined"
		}
		if target.Weight < 0 {
			return "a weight is negative"
		}
		total += target.Weight
	}
	if total == 0 {
		return "all weights are 0"
	}
	return ""
}
