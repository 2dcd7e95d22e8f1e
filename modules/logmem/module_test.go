package logmem_test

import (
	"errors"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/modules/logmem"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/logtest"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/spectest"
)

var _ = ginkgo.Describe("log.memory module", func() {
	ginkgo.It("modules with the same name share one log", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		first, err := provision(t, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		second, err := provision(t, map[string]any{"name": "default"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(first).To(gomega.BeIdenticalTo(second))
		for _, options := range []map[string]any{{"name": 1}, {"name": ""}, {"nam": "x"}} {
			_, err := provision(t, options)
			var option *logmem.OptionError
			g.Expect(errors.As(err, &option)).To(gomega.BeTrue())
		}
	})
})

// provision returns the log that the module provides with the given options.
func provision(t testing.TB, options map[string]any) (platlog.Log, error) {
	t.Helper()
	ctx := kernel.NewContext(kernel.Identity{}, nil)
	config := &settings.Settings{Log: settings.Driver{Name: "memory", Options: options}}
	if err := kernel.Provide(ctx, config); err != nil {
		t.Fatal(err)
	}
	module, err := kernel.New(logmem.ID)
	if err != nil {
		t.Fatal(err)
	}
	if err := module.(kernel.Provisioner).Provision(ctx); err != nil {
		return nil, err
	}
	return kernel.Use[platlog.Log](ctx)
}

func TestSpecs(t *testing.T) { spectest.Run(t, "modules/logmem") }

var _ = logtest.Describe("log.memory", func(t testing.TB) logtest.Target {
	t.Cleanup(func() { logmem.Forget(t.Name()) })
	log, err := provision(t, map[string]any{"name": t.Name()})
	if err != nil {
		t.Fatal(err)
	}
	return logtest.Target{Log: log, Truncate: log.(*memlog.Store).Truncate}
})
