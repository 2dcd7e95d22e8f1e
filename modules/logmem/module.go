// Package logmem implements the module log.memory, an in-memory log for the demo
// and tests. All nodes in one operating-system process that use the same name share
// one log.
package logmem

import (
	"fmt"
	"sync"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/settings"
)

// ID is the module's ID.
const ID kernel.ModuleID = "log.memory"

const (
	optionName  = "name"
	defaultName = "default"
)

var (
	storesMu sync.Mutex
	stores   = map[string]platlog.Log{}
)

func init() { kernel.Register(&Module{}) }

// OptionError reports a module option that is unknown or of the wrong type.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("log.memory: option %q is unknown or of the wrong type", e.Option)
}

// Open returns the log with the given name and creates it on first use.
func Open(name string) platlog.Log {
	storesMu.Lock()
	defer storesMu.Unlock()
	log, exists := stores[name]
	if !exists {
		log = memlog.New(memlog.Retention{})
		stores[name] = log
	}
	return log
}

// Put registers log under a name, for example a log with injected faults.
func Put(name string, log platlog.Log) {
	storesMu.Lock()
	defer storesMu.Unlock()
	stores[name] = log
}

// Forget removes the log with the given name, so that its memory can be freed.
func Forget(name string) {
	storesMu.Lock()
	defer storesMu.Unlock()
	delete(stores, name)
}

// Module provides the log with the configured name as platlog.Log. Its only option
// is "name".
type Module struct {
	name string
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: ID, New: func() kernel.Module { return &Module{} }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	config, err := kernel.Use[*settings.Settings](ctx)
	if err != nil {
		return err
	}
	name, err := nameOption(config.Log.Options)
	if err != nil {
		return err
	}
	m.name = name
	return kernel.Provide[platlog.Log](ctx, Open(name))
}

func nameOption(options map[string]any) (string, error) {
	name := defaultName
	for option, value := range options {
		text, isText := value.(string)
		if option != optionName || !isText || text == "" {
			return "", &OptionError{Option: option}
		}
		name = text
	}
	return name, nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	return struct {
		Name string `json:"name"`
	}{m.name}
}
