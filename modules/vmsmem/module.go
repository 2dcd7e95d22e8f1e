// Package vmsmem implements the module vms.memory, an in-memory VM list that the
// nodes of a demo or test in one process share by name.
package vmsmem

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// optionName is the driver option that names the shared list.
const optionName = "name"

var (
	sharedMu sync.Mutex
	shared   = map[string]*vms.Platform{}
)

func init() { kernel.Register(&Module{}) }

// Named returns the shared list with the given name and creates it on first use.
func Named(name string) *vms.Platform {
	sharedMu.Lock()
	defer sharedMu.Unlock()
	platform, exists := shared[name]
	if !exists {
		platform = vms.New()
		shared[name] = platform
	}
	return platform
}

// Forget removes a shared list, so that its name can be used for a new one.
func Forget(name string) {
	sharedMu.Lock()
	defer sharedMu.Unlock()
	delete(shared, name)
}

// Module provides the shared VM list with the configured name as vmlist.List.
type Module struct{ name string }

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "vms.memory", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s, err := kernel.Use[*settings.Settings](ctx)
	if err != nil {
		return err
	}
	for key, value := range s.VMs.Options {
		name, isText := value.(string)
		if key != optionName || !isText {
			return &OptionError{Key: key}
		}
		m.name = name
	}
	return kernel.Provide[vmlist.List](ctx, Named(m.name))
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	return struct {
		Name string `json:"name"`
	}{m.name}
}

// OptionError reports a driver option that is unknown or of the wrong type.
type OptionError struct{ Key string }

// Error implements error.
func (e *OptionError) Error() string {
	return `VM list driver "memory": option "` + e.Key + `" is not one of: name (text)`
}
