package lessor

import "flag"

// Generated cases are the same in every run; -rapid.seed=N selects others.
func init() { _ = flag.Set("rapid.seed", "1") }
