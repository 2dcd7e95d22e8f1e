// Package kernel is the core of the module system. It maintains the registry of
// modules, and starts, drains and stops the modules of one process in order. A
// module is a package under modules/ that registers itself by ID in init(); the
// packages beside the kernel implement the pure logic that modules call.
package kernel

import (
	"context"
	"sort"
	"strings"
	"sync"
)

// ModuleID names a module: a namespace and a name joined by a dot, for example
// "log.http" or "balance.greedy".
type ModuleID string

// Namespace returns the part before the last dot.
func (id ModuleID) Namespace() string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id)[:i]
	}
	return ""
}

// Name returns the part after the last dot.
func (id ModuleID) Name() string {
	return string(id)[strings.LastIndexByte(string(id), '.')+1:]
}

// Info is the registry entry of a module.
type Info struct {
	ID  ModuleID
	New func() Module // returns a new, unconfigured module
}

// Module is implemented by every plug-in. The life cycle of a module is
// Provision, Validate, Start, Drain, Stop; each of these steps is optional.
type Module interface {
	ModuleInfo() Info
}

// Provisioner configures a module from its settings and the services that earlier
// modules provided. It must not start goroutines or open listeners.
type Provisioner interface {
	Provision(ctx *Context) error
}

// Validator checks a provisioned module. All modules are validated before the
// first one is started.
type Validator interface {
	Validate() error
}

// Starter starts a module's goroutines and listeners.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer gives up the module's duties (terms, leases, new requests) while the
// process still serves requests. Modules are drained in reverse start
// order, all of them before the first Stop.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper ends a module's goroutines and closes its listeners. Modules are
// stopped in reverse start order.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Dumper adds the module's state to the state dump. The value is encoded as
// JSON; it must not contain secrets.
type Dumper interface {
	Dump() any
}

var (
	registryMu sync.RWMutex
	registry   = map[ModuleID]Info{}
)

// Register adds a module to the registry. It is called from init() and panics
// on an empty or duplicate ID or a missing constructor, because these are
// programming errors.
func Register(m Module) {
	info := m.ModuleInfo()
	registryMu.Lock()
	defer registryMu.Unlock()
	if info.ID == "" || info.New == nil {
		panic(&RegistrationError{ID: info.ID, Problem: "empty ID or constructor"})
	}
	if _, exists := registry[info.ID]; exists {
		panic(&RegistrationError{ID: info.ID, Problem: "registered twice"})
	}
	registry[info.ID] = info
}

// New creates the module that is registered under an ID. It fails with an
// *UnknownModuleError.
func New(id ModuleID) (Module, error) {
	registryMu.RLock()
	defer registryMu.RUnlock()
	info, exists := registry[id]
	if !exists {
		return nil, &UnknownModuleError{ID: id}
	}
	return info.New(), nil
}

// IDs returns the sorted IDs of the registered modules of a namespace; an empty
// namespace selects all modules.
func IDs(namespace string) []ModuleID {
	registryMu.RLock()
	defer registryMu.RUnlock()
	ids := make([]ModuleID, 0, len(registry))
	for id := range registry {
		if namespace == "" || id.Namespace() == namespace {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
