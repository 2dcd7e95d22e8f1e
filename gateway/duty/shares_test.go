package duty

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

func TestSmallestShareReturnsTheServerWithTheHighestDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(smallestShare(quota.Shares{"a": 0.5, "b": 0.1, "c": 0.9})).To(gomega.Equal(site.ServerID("b")))
	g.Expect(smallestShare(nil)).To(gomega.BeEmpty())
}
