// Package pick registers the policies that choose a server of an unkeyed service
// as modules of the namespace "pick". A module provides its picker to later
// modules as a pick.Picker.
package pick

import (
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/pick"
)

// Namespace is the namespace of the modules in this package.
const Namespace = "pick"

// Parameters of the pickers. A probe budget gains probesPerRequest for each
// request and saves at most maxSavedProbes. pushHigh and pushLow are loads relative
// to the limit of a server.
const (
	dChoices         = 2
	probesPerRequest = 1
	maxSavedProbes   = 16
	pushHigh         = 0.75
	pushLow          = 0.5
	maxAlternatives  = 3
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
		{name: "dchoices", make: func() pick.Picker { return pick.DChoices{D: dChoices} }},
		{name: "budgetchoices", make: func() pick.Picker {
			return pick.BudgetedChoices{ProbeBudget: newProbeBudget(), D: dChoices}
		}},
		{name: "budgetpush", make: func() pick.Picker {
			return pick.BudgetedPush{ProbeBudget: newProbeBudget(), High: pushHigh, Low: pushLow, MaxAlternatives: maxAlternatives}
		}},
	}
}

func newProbeBudget() *pick.ProbeBudget {
	return &pick.ProbeBudget{PerRequest: probesPerRequest, Burst: maxSavedProbes}
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

// Named returns a new picker by its name without the namespace, for example
// "dchoices". For an unknown name, the error is a *kernel.UnknownModuleError.
func Named(name string) (pick.Picker, error) {
	module, err := kernel.New(kernel.ModuleID(Namespace + "." + name))
	if err != nil {
		return nil, err
	}
	return module.(*Module).make(), nil
}
