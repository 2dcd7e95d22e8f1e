// Package balance registers the balancing policies as modules in the namespace
// "balance". Each module provides its policy as balance.Policy.
package balance

import (
	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/kernel"
)

// Namespace is the namespace of the modules in this package.
const Namespace = "balance"

// Module provides one balancing policy.
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

// Named returns the policy with the given name, which excludes the namespace, for
// example "greedy". For an unknown name the error is *kernel.UnknownModuleError.
func Named(name string) (balance.Policy, error) {
	module, err := kernel.New(kernel.ModuleID(Namespace + "." + name))
	if err != nil {
		return nil, err
	}
	return module.(*Module).policy, nil
}
