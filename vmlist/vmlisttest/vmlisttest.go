// Package vmlisttest tests the contract that every VM-list driver must meet, as
// Ginkgo specs that run against the stand-in platform.
package vmlisttest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// longTimeout is for reads that must succeed; shortTimeout is for reads that
// cannot.
const (
	longTimeout  = 20 * time.Second
	shortTimeout = 50 * time.Millisecond
)

// Open returns a driver that reads the list of a platform.
type Open func(t testing.TB, p *vms.Platform) vmlist.List

// Describe defines the specs of the whole contract for one driver.
func Describe(driver string, open Open) bool {
	return ginkgo.DescribeTable(driver+" contract",
		func(run func(t testing.TB, p *vms.Platform, list vmlist.List)) {
			t := ginkgo.GinkgoTB()
			p := vms.New()
			run(t, p, open(t, p))
		},
		ginkgo.Entry("an empty list is no error", emptyList),
		ginkgo.Entry("rows are complete and sorted by ID", wholeRows),
		ginkgo.Entry("each read reflects the changes since the previous read", changes),
		ginkgo.Entry("a reader may modify the returned list", ownCopy),
		ginkgo.Entry("an outage is unavailable, and ends", outage),
		ginkgo.Entry("a read that hangs ends with its context", hanging),
		ginkgo.Entry("an ended context is its error", endedContext),
		ginkgo.Entry("a misleading row is returned unchanged", misleading),
		ginkgo.Entry("the list shows and omits VMs late", lagging),
	)
}

func server(id string, phase vmlist.Phase) vmlist.VM {
	return vmlist.VM{
		ID: id, Role: vmlist.RoleServer, Service: "logs", Zone: "zone-a", Region: "south",
		Address: "127.0.0.1:9000", Phase: phase,
	}
}

func entry(id string) vmlist.VM {
	return vmlist.VM{ID: id, Role: vmlist.RoleEntry, Zone: "zone-b", Phase: vmlist.PhaseLive}
}

func read(t testing.TB, list vmlist.List) []vmlist.VM {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	rows, err := list.VMs(ctx)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return rows
}

func unavailable(t testing.TB, list vmlist.List, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	rows, err := list.VMs(ctx)
	g := gomega.NewWithT(t)
	g.Expect(rows).To(gomega.BeEmpty())
	var away *vmlist.UnavailableError
	if !errors.As(err, &away) {
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
	}
}

func emptyList(t testing.TB, _ *vms.Platform, list vmlist.List) {
	gomega.NewWithT(t).Expect(read(t, list)).To(gomega.BeEmpty())
}

func wholeRows(t testing.TB, p *vms.Platform, list vmlist.List) {
	rows := []vmlist.VM{entry("a"), server("b", vmlist.PhaseLive), server("c", vmlist.PhaseLeaving), server("d", vmlist.PhaseGone)}
	for _, i := range []int{2, 0, 3, 1} {
		p.Put(rows[i])
	}
	gomega.NewWithT(t).Expect(read(t, list)).To(gomega.Equal(rows))
}

func changes(t testing.TB, p *vms.Platform, list vmlist.List) {
	g := gomega.NewWithT(t)
	p.Put(server("a", vmlist.PhaseLive))
	first := read(t, list)
	g.Expect(read(t, list)).To(gomega.Equal(first))
	p.SetPhase("a", vmlist.PhaseLeaving)
	g.Expect(read(t, list)).To(gomega.ConsistOf(server("a", vmlist.PhaseLeaving)))
	p.SetPhase("a", vmlist.PhaseLive)
	g.Expect(read(t, list)).To(gomega.Equal(first))
	p.Remove("a")
	g.Expect(read(t, list)).To(gomega.BeEmpty())
}

func ownCopy(t testing.TB, p *vms.Platform, list vmlist.List) {
	p.Put(server("a", vmlist.PhaseLive))
	read(t, list)[0].Phase = vmlist.PhaseGone
	gomega.NewWithT(t).Expect(read(t, list)[0].Phase).To(gomega.Equal(vmlist.PhaseLive))
}

func outage(t testing.TB, p *vms.Platform, list vmlist.List) {
	p.Put(server("a", vmlist.PhaseLive))
	read(t, list)
	p.SetFaults(vms.Faults{Outage: true})
	unavailable(t, list, longTimeout)
	p.SetFaults(vms.Faults{})
	gomega.NewWithT(t).Expect(read(t, list)).To(gomega.HaveLen(1))
}

func hanging(t testing.TB, p *vms.Platform, list vmlist.List) {
	p.Put(server("a", vmlist.PhaseLive))
	p.SetFaults(vms.Faults{Hang: true})
	unavailable(t, list, shortTimeout)
	p.SetFaults(vms.Faults{})
	gomega.NewWithT(t).Expect(read(t, list)).To(gomega.HaveLen(1))
}

func endedContext(t testing.TB, _ *vms.Platform, list vmlist.List) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := list.VMs(ctx)
	gomega.NewWithT(t).Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue(), "%v", err)
}

func misleading(t testing.TB, p *vms.Platform, list vmlist.List) {
	g := gomega.NewWithT(t)
	p.Put(server("a", vmlist.PhaseLive))
	p.Put(server("b", vmlist.PhaseLive))
	shown := server("a", vmlist.PhaseGone)
	shown.Service = topo.Service("quotes")
	p.Override("a", &shown)
	p.Override("b", nil)
	g.Expect(read(t, list)).To(gomega.ConsistOf(shown))
	p.ClearOverride("a")
	p.ClearOverride("b")
	g.Expect(read(t, list)).To(gomega.HaveLen(2))
}

// lagging uses lags that are much longer than the test.
func lagging(t testing.TB, p *vms.Platform, list vmlist.List) {
	g := gomega.NewWithT(t)
	p.Put(server("a", vmlist.PhaseLive))
	p.SetFaults(vms.Faults{HideLag: time.Hour})
	p.SetPhase("a", vmlist.PhaseLeaving)
	p.Put(server("b", vmlist.PhaseLive))
	g.Expect(read(t, list)).To(gomega.ConsistOf(server("a", vmlist.PhaseLive), server("b", vmlist.PhaseLive)))
	p.Remove("a")
	g.Expect(read(t, list)).To(gomega.HaveLen(2))
	p.SetFaults(vms.Faults{ShowLag: time.Hour})
	g.Expect(read(t, list)).To(gomega.BeEmpty())
}
