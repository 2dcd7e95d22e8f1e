package site

// Entry is the registry entry that a backend server wrote about itself.
type Entry struct {
	Server
	// Sequence numbers the entries of one incarnation and only increases.
	Sequence int64
}
