package memlog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/platlog/logtest"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/topo"
)

func TestSpecs(t *testing.T) { spectest.Run(t, "platlog/memlog") }

var _ = logtest.Describe("memlog", func(testing.TB) logtest.Target {
	store := memlog.New(memlog.Retention{})
	return logtest.Target{Log: store, Truncate: store.Truncate}
})

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := memlog.New(memlog.Retention{Records: 3, Age: time.Hour})
		for range 5 {
			_, err := store.Append(t.Context(), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		first, end := store.Bounds()
		g.Expect([]topo.Offset{first, end}).To(gomega.Equal([]topo.Offset{3, 6}))
		time.Sleep(time.Hour + time.Second)
		first, end = store.Bounds()
		g.Expect([]topo.Offset{first, end}).To(gomega.Equal([]topo.Offset{6, 6}))
	})
}
