package ranges

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
)

// Guards against keys that are placed as if a server that slows down under load could use all of its slots.
func TestALimitedServerHasLessCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	speeds := speed.Service{Work: 0.1, Servers: map[site.ServerID]speed.Estimate{"a": {Relative: 1, Concurrency: 2, IsTrial: true}, "b": {Relative: 1}}}
	limited, full := learnedCost(site.Server{ID: "a", Slots: 4}, speeds), learnedCost(site.Server{ID: "b", Slots: 4}, speeds)
	g.Expect(limited.cost).To(gomega.BeNumerically("~", 2*full.cost, 1e-9))
}
