package sockettest_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/socket/sockettest"
)

func TestAddressesInOneProcessAreDistinct(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[string]bool{}
	for range 200 {
		seen[sockettest.FreeAddress(t)] = true
	}
	g.Expect(seen).To(gomega.HaveLen(200))
}
