// Package spectest runs the Ginkgo specs of a package under go test.
package spectest

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed orders the containers of every suite, so that each run has one order.
const seed = 1

// Flags of go test that Ginkgo judges.
const (
	flagParallel = "test.parallel"
	flagCount    = "test.count"
)

// Run runs the package's specs, one after the other. Each package with specs has
// one test function, TestSpecs, that calls it. Ginkgo refuses a second run in
// one process, as -count=2 would make.
func Run(t *testing.T, name string) {
	t.Helper()
	defer hideParallel()()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// hideParallel keeps go test's -parallel from Ginkgo until the returned function
// is called. Ginkgo ends the process when the flag is set, since it does not run
// specs side by side on that account; here it is meant for the plain tests beside
// the specs. -count is left for Ginkgo to refuse.
func hideParallel() (restore func()) {
	given := *flag.CommandLine
	shown := flag.NewFlagSet(given.Name(), flag.ExitOnError)
	given.VisitAll(func(f *flag.Flag) {
		if f.Name != flagParallel {
			shown.Var(f.Value, f.Name, f.Usage)
		}
	})
	given.Visit(func(f *flag.Flag) {
		if f.Name == flagCount {
			_ = shown.Set(f.Name, f.Value.String()) // its own value, which is valid
		}
	})
	_ = shown.Parse(nil) // marks it as parsed
	*flag.CommandLine = *shown
	return func() { *flag.CommandLine = given }
}
