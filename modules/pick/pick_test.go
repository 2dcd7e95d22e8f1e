package pick_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	modules "github.com/burdockspindle/burdockspindle/modules/pick"
	"github.com/burdockspindle/burdockspindle/pick"
)

func TestPickersAreRegisteredAndProvided(t *testing.T) {
	g := gomega.NewWithT(t)
	names := []string{"budgetchoices", "budgetpush", "dchoices", "random", "roundrobin"}
	ids := kernel.IDs(modules.Namespace)
	g.Expect(ids).To(gomega.HaveLen(len(names)))
	for i, id := range ids {
		g.Expect(id.Name()).To(gomega.Equal(names[i]))
		module, err := kernel.New(id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx := kernel.NewContext(kernel.Identity{}, nil)
		g.Expect(module.(kernel.Provisioner).Provision(ctx)).To(gomega.Succeed())
		picker, err := kernel.Use[pick.Picker](ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		chosen, found := picker.Pick([]pick.Candidate{{Weight: 1}}, func() float64 { return 0 })
		g.Expect(found).To(gomega.BeTrue())
		g.Expect(chosen).To(gomega.BeZero())
	}
	_, err := modules.Named("nothing")
	g.Expect(err).To(gomega.MatchError(&kernel.UnknownModuleError{ID: "pick.nothing"}))
}
