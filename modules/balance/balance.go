// Package balance registers the balancing policies as modules of the namespace
// "balance". A module provides its policy to later modules as a
// balance.Policy.
package balance

import (
	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/kernel"
)

// Namespace holds the modules of this package.
const Namespace = "balance"

// Module makes one policy available to the process.
type Module struct {
	policy balance.Policy
}

func init() {
	for _, policy := range policies() {
		kernel.Register(&Module{policy: policy})
	}
}

func policies() []balance.Policy {
	return []balance.Policy{
		balance.Static{},
		balance.Greedy{},
		balance.Push{},
		balance.Pull{},
		balance.RatePush{},
		balance.RatePull{},
	}
}

// ModuleInfo implements kernel.Module.
func (m *Module) ModuleInfo() kernel.Info {
	policy := m.policy
	return kernel.Info{
		ID:  kernel.ModuleID(Namespace + "." + policy.Name()),
		New: func() kernel.Module { return &Module{policy: policy} },
	}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	return kernel.Provide(ctx, m.policy)
}

// Policy returns the module's policy.
func (m *Module) Policy() balance.Policy { return m.policy }

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	return struct {
		Policy string `json:"policy"`
	}{m.policy.Name()}
}

// Named returns the policy of a name without its namespace, for example
// "greedy". The error is a *kernel.UnknownModuleError.
func Named(name string) (balance.Policy, error) {
	module, err := kernel.New(kernel.ModuleID(Namespace + "." + name))
	if err != nil {
		return nil, err
	}
	return module.(*Module).policy, nil
}
