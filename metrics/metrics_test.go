package metrics_test

import (
	"expvar"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/metrics"
)

func TestVariablesAreInTheirGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	group := metrics.New("metrics_test")
	group.Counter("requests").Add(2)
	group.Map("by_outcome").Add("answered", 1)

	g.Expect(expvar.Get("metrics_test").String()).To(gomega.MatchJSON(`{"requests": 2, "by_outcome": {"answered": 1}}`))
}
