package balance_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/kernel"
	modules "github.com/burdockspindle/burdockspindle/modules/balance"
)

func TestPoliciesAreRegisteredAndProvided(t *testing.T) {
	g := gomega.NewWithT(t)
	names := []string{"greedy", "pull", "push", "ratepull", "ratepush", "static"}
	ids := kernel.IDs(modules.Namespace)
	g.Expect(ids).To(gomega.HaveLen(len(names)))
	for i, id := range ids {
		g.Expect(id.Name()).To(gomega.Equal(names[i]))
		module, err := kernel.New(id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx := kernel.NewContext(kernel.Identity{}, nil)
		g.Expect(module.(kernel.Provisioner).Provision(ctx)).To(gomega.Succeed())
		policy, err := kernel.Use[balance.Policy](ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(policy.Name()).To(gomega.Equal(names[i]))
	}
}

func TestNamedRefusesUnknownPolicies(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := modules.Named("nothing")
	g.Expect(err).To(gomega.MatchError(&kernel.UnknownModuleError{ID: "balance.nothing"}))
}
