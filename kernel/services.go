package kernel

// DumpFunc returns the state dump of every module by module ID. The node
// provides it, so that the administration API can serve it.
type DumpFunc func() map[string]any

// DrainFunc asks the process to shut down gracefully and returns at once. The
// node provides it.
type DrainFunc func()

// ListenerRole says who connects to a listener.
type ListenerRole string

// Listener roles.
const (
	RoleFrontend ListenerRole = "frontend" // callers
	RolePeer     ListenerRole = "peer"     // other entry nodes
	RoleAdmin    ListenerRole = "admin"    // operators
)

// Listening is implemented by modules that own a listener. The address is the
// bound one, host:port, and is known once the module has started.
type Listening interface {
	ListenAddress() (ListenerRole, string)
}
