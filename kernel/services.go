package kernel

// DumpFunc returns the state dump of every module by module ID. The node
// provides it for the administration API.
type DumpFunc func() map[string]any

// DrainFunc requests a graceful shutdown of the process and returns at once. The
// node provides it.
type DrainFunc func()

// ListenerRole identifies the kind of client that connects to a listener.
type ListenerRole string

// Listener roles.
const (
	RoleFrontend ListenerRole = "frontend" // callers
	RolePeer     ListenerRole = "peer"     // other entry nodes
	RoleAdmin    ListenerRole = "admin"    // operators
)

// Listening is implemented by modules that own a listener. ListenAddress returns
// the bound address (host:port), which is valid once the module has started.
type Listening interface {
	ListenAddress() (ListenerRole, string)
}
