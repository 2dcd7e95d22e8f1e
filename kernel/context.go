package kernel

import (
	"reflect"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Identity identifies this process: node, zone and region come from its settings,
// and the boot ID is generated when the process starts.
type Identity struct {
	Node   topo.NodeID
	Boot   topo.BootID
	Zone   topo.Zone
	Region topo.Region
}

// Context is shared by the modules of a process. It holds the process's identity,
// its logger, and the typed services that modules provide to later modules.
type Context struct {
	Identity Identity
	Logger   hclog.Logger

	mu       sync.RWMutex
	services map[reflect.Type]any
}

// NewContext returns a context without services.
func NewContext(id Identity, logger hclog.Logger) *Context {
	return &Context{Identity: id, Logger: logger, services: map[reflect.Type]any{}}
}

// Provide registers a service under type T, usually an interface. It fails with
// a *DuplicateServiceError if T has a service already.
func Provide[T any](ctx *Context, service T) error {
	key := reflect.TypeFor[T]()
	ctx.mu.Lock()
	defer ctx.mu.Unlock()
	if _, exists := ctx.services[key]; exists {
		return &DuplicateServiceError{Type: key.String()}
	}
	ctx.services[key] = service
	return nil
}

// Use returns the service of type T that an earlier module provided, or a
// *MissingServiceError.
func Use[T any](ctx *Context) (T, error) {
	key := reflect.TypeFor[T]()
	ctx.mu.RLock()
	defer ctx.mu.RUnlock()
	service, exists := ctx.services[key]
	if !exists {
		var none T
		return none, &MissingServiceError{Type: key.String()}
	}
	return service.(T), nil
}
