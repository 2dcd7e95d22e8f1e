package vmsmem

import (
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/vmlist"
	"github.com/burdockspindle/burdockspindle/vmlist/vmlisttest"
)

var _ = ginkgo.Describe("vms.memory", func() {
	ginkgo.It("modules with the same name share one list", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		g.Expect(Named("one")).To(gomega.BeIdenticalTo(Named("one")))
		g.Expect(Named("one")).NotTo(gomega.BeIdenticalTo(Named("two")))
		Forget("one")
		Forget("two")
	})

	ginkgo.It("invalid options are rejected", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		for _, options := range []map[string]any{{"name": 1.0}, {"title": "x"}} {
			_, err := provision(options)
			var wrong *OptionError
			g.Expect(errors.As(err, &wrong)).To(gomega.BeTrue(), "%v", options)
		}
	})
})

func provision(options map[string]any) (vmlist.List, error) {
	ctx := kernel.NewContext(kernel.Identity{}, hclog.NewNullLogger())
	if err := kernel.Provide(ctx, &settings.Settings{VMs: settings.Driver{Options: options}}); err != nil {
		return nil, err
	}
	if err := new(Module).Provision(ctx); err != nil {
		return nil, err
	}
	return kernel.Use[vmlist.List](ctx)
}

func TestSpecs(t *testing.T) { spectest.Run(t, "modules/vmsmem") }

var _ = vmlisttest.Describe("vms.memory", func(t testing.TB, p *vms.Platform) vmlist.List {
	name := t.Name()
	sharedMu.Lock()
	shared[name] = p
	sharedMu.Unlock()
	t.Cleanup(func() { Forget(name) })
	list, err := provision(map[string]any{"name": name})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return list
})
