package balance_test

import "flag"

// The fixed seed generates the same cases in every run; -rapid.seed=N overrides
// it.
func init() { _ = flag.Set("rapid.seed", "1") }
