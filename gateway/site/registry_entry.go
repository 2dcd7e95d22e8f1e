package site

// RegistryEntry is the registry entry that a backend server wrote about itself.
type RegistryEntry struct {
	Server
	// Sequence numbers the entries of one incarnation and only increases.
	Sequence int64
}
