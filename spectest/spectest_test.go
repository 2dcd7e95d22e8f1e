package spectest

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// isSet reports whether a flag was set on the command line, as Ginkgo checks it.
func isSet(name string) bool {
	found := false
	flag.CommandLine.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// TestOnlyParallelIsHidden sets both flags to their current values and leaves them
// set, because this package has no parallel tests.
func TestOnlyParallelIsHidden(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range []string{flagParallel, flagCount} {
		g.Expect(flag.Set(name, flag.Lookup(name).Value.String())).To(gomega.Succeed())
	}
	restore := hideParallel()
	g.Expect(flag.Parsed()).To(gomega.BeTrue())
	g.Expect(isSet(flagParallel)).To(gomega.BeFalse())
	g.Expect(isSet(flagCount)).To(gomega.BeTrue(), "Ginkgo refuses -count=2")
	g.Expect(flag.Lookup("test.run")).NotTo(gomega.BeNil())
	restore()
	g.Expect(isSet(flagParallel)).To(gomega.BeTrue())
	g.Expect(flag.Lookup(flagParallel)).NotTo(gomega.BeNil())
}

var ran int

var _ = ginkgo.Describe("suite", func() {
	ginkgo.It("runs although -parallel is set", func() { ran++ })

	ginkgo.It("has a fixed order", func() {
		gomega.Expect(ginkgo.GinkgoRandomSeed()).To(gomega.BeEquivalentTo(seed))
	})
})

func TestSpecs(t *testing.T) {
	Run(t, "spectest")
	gomega.NewWithT(t).Expect(ran).To(gomega.Equal(1))
}
