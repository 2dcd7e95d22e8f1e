package siteconfig_test

import "flag"

// init fixes the seed, so that every run generates the same cases; -rapid.seed=N
// generates others.
func init() { _ = flag.Set("rapid.seed", "1") }
