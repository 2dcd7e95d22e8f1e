// Package pick registers the policies that choose a server of a service that is
// not divided by key, as modules of the namespace "pick". A module provides its
// picker to later modules as a pick.Picker.
package pick

import (
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/pick"
)

// Namespace holds the modules of this package.
const Namespace = "pick"

// Settings of the pickers with a budget: probes for each request and how many
// may be saved up; thresholds are loads over what a server may hold.
const (
	choices          = 2
	probesPerRequest = 1
	probesSaved      = 16
	pushHigh         = 0.75
	pushLow          = 0.5
	pushMost         = 3
)

// Module makes one picker available to the process.
type Module struct {
	name   string
	make   func() pick.Picker
	picker pick.Picker
}

func init() {
	for _, m := range modules() {
		kernel.Register(m)
	}
}

func modules() []*Module {
	return []*Module{
		{name: "random", make: func() pick.Picker { return pick.Random{} }},
		{name: "roundrobin", make: func() pick.Picker { return &pick.RoundRobin{} }},
		{name: "dchoices", make: func() pick.Picker { return pick.DChoices{D: choices} }},
		{name: "budgetchoices", make: func() pick.Picker {
			return pick.BudgetedChoices{ProbeBudget: newProbes(), D: choices}
		}},
		{name: "budgetpush", make: func() pick.Picker {
			return pick.BudgetedPush{ProbeBudget: newProbes(), High: pushHigh, Low: pushLow, Most: pushMost}
		}},
	}
}

func newProbes() *pick.ProbeBudget {
	return &pick.ProbeBudget{PerRequest: probesPerRequest, Burst: probesSaved}
}

// ModuleInfo implements kernel.Module.
func (m *Module) ModuleInfo() kernel.Info {
	name, newPicker := m.name, m.make
	return kernel.Info{
		ID:  kernel.ModuleID(Namespace + "." + name),
		New: func() kernel.Module { return &Module{name: name, make: newPicker} },
	}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.picker = m.make()
	return kernel.Provide(ctx, m.picker)
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	return struct {
		Picker string `json:"picker"`
	}{m.name}
}

// Named returns a new picker of a name without its namespace, for example
// "dchoices". The error is a *kernel.UnknownModuleError.
func Named(name string) (pick.Picker, error) {
	module, err := kernel.New(kernel.ModuleID(Namespace + "." + name))
	if err != nil {
		return nil, err
	}
	return module.(*Module).make(), nil
}
