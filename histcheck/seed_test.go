package histcheck

import "flag"

// A fixed seed makes the generated cases reproducible; -rapid.seed=N selects others.
func init() { _ = flag.Set("rapid.seed", "1") }
