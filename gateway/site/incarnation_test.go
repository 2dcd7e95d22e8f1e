package site_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

func TestIncarnationIDContainsTheNameAndTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.UnixMilli(1764728238123)
	for _, c := range []struct {
		name  site.ServerName
		start time.Time
	}{
		{"i-7f3a91c2", start},
		{"i-7f3a91c2", time.Time{}},
		{"with@sign", start},
		{"with@sign", time.Time{}},
		{"before-1970", time.UnixMilli(-5)},
	} {
		id := site.IncarnationID(c.name, c.start)
		g.Expect(id.Name()).To(gomega.Equal(c.name), string(id))
		g.Expect(id.Start().Equal(c.start)).To(gomega.BeTrue(), string(id))
	}
	g.Expect(site.IncarnationID("a", start)).NotTo(gomega.Equal(site.IncarnationID("a", start.Add(time.Millisecond))))
	g.Expect(site.IncarnationID("a", time.Time{})).To(gomega.Equal(site.ServerID("a")), "IDs without a start time, as used before servers reported one")
}
