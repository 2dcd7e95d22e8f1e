// Package spectest runs the Ginkgo specs of a package under go test.
package spectest

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed determines the order of the containers of every suite, so that every run
// has the same order.
const seed = 1

// Flags of go test that Ginkgo checks.
const (
	flagParallel = "test.parallel"
	flagCount    = "test.count"
)

// Run runs the package's specs sequentially. Each package with specs has one test
// function, TestSpecs, that calls it. Ginkgo refuses a second run in one process,
// as with -count=2.
func Run(t *testing.T, name string) {
	t.Helper()
	defer hideParallel()()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// hideParallel hides go test's -parallel flag from Ginkgo until the returned
// function is called. Ginkgo exits the process if the flag is set, because the flag
// does not make specs run in parallel; here it applies to the plain tests of the
// package. -count stays visible, so that Ginkgo refuses it.
func hideParallel() (restore func()) {
	original := *flag.CommandLine
	visible := flag.NewFlagSet(original.Name(), flag.ExitOnError)
	original.VisitAll(func(f *flag.Flag) {
		if f.Name != flagParallel {
			visible.Var(f.Value, f.Name, f.Usage)
		}
	})
	original.Visit(func(f *flag.Flag) {
		if f.Name == flagCount {
			_ = visible.Set(f.Name, f.Value.String()) // cannot fail: it is the flag's current value
		}
	})
	_ = visible.Parse(nil) // marks the set as parsed
	*flag.CommandLine = *visible
	return func() { *flag.CommandLine = original }
}
