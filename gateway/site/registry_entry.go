package site

// Entry is what a backend server wrote of itself into the register.
type Entry struct {
	Server
	// Sequence numbers what one run wrote; it only grows.
	Sequence int64
}
