// Package metrics declares the expvar variables of a package. All variables of
// a package stand in one map under its name, and count over every node in the
// operating-system process, of which the demo has several.
package metrics

import "expvar"

// Group is the map of one package's variables.
type Group struct{ variables *expvar.Map }

// New publishes a package's map. It is called by package-level variable
// declarations; a name that is published twice panics, as expvar does.
func New(name string) Group { return Group{expvar.NewMap(name)} }

// Counter adds a number to the group.
func (g Group) Counter(name string) *expvar.Int {
	variable := new(expvar.Int)
	g.variables.Set(name, variable)
	return variable
}

// Map adds a map of numbers to the group.
func (g Group) Map(name string) *expvar.Map {
	variable := new(expvar.Map).Init()
	g.variables.Set(name, variable)
	return variable
}
