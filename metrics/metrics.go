// Package metrics declares the expvar variables of a package. All variables of a
// package are in one map under its name. They aggregate all nodes in the
// operating-system process; the demo runs several nodes in one process.
package metrics

import "expvar"

// Group is the map of one package's variables.
type Group struct{ variables *expvar.Map }

// New publishes a package's map. Package-level variable declarations call it; it
// panics if the name is already published, as expvar does.
func New(name string) Group { return Group{expvar.NewMap(name)} }

// Counter adds a counter to the group.
func (g Group) Counter(name string) *expvar.Int {
	variable := new(expvar.Int)
	g.variables.Set(name, variable)
	return variable
}

// Map adds a map of counters to the group.
func (g Group) Map(name string) *expvar.Map {
	variable := new(expvar.Map).Init()
	g.variables.Set(name, variable)
	return variable
}
