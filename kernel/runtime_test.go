package kernel_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/topo"
)

// journal records the life-cycle steps of the modules under test.
type journal struct{ steps []string }

func (j *journal) note(step string) { j.steps = append(j.steps, step) }

// failure is the typed error that a module under test returns.
type failure struct{ step string }

func (f *failure) Error() string { return f.step + " failed" }

type recorder struct {
	id      kernel.ModuleID
	journal *journal
	failAt  string
}

func (r *recorder) ModuleInfo() kernel.Info {
	return kernel.Info{ID: r.id, New: func() kernel.Module { return r }}
}

func (r *recorder) step(name string) error {
	r.journal.note(string(r.id) + " " + name)
	if r.failAt == name {
		return &failure{step: name}
	}
	return nil
}

func (r *recorder) Provision(*kernel.Context) error { return r.step("provision") }
func (r *recorder) Validate() error                 { return r.step("validate") }
func (r *recorder) Start(context.Context) error     { return r.step("start") }
func (r *recorder) Drain(context.Context) error     { return r.step("drain") }
func (r *recorder) Stop(context.Context) error      { return r.step("stop") }
func (r *recorder) Dump() any                       { return string(r.id) }

func newRuntime() *kernel.Runtime {
	identity := kernel.Identity{Node: "n1", Zone: topo.Zone("a")}
	return kernel.NewRuntime(kernel.NewContext(identity, hclog.NewNullLogger()))
}

func TestModulesRunThroughTheirLifeCycleInOrder(t *testing.T) {
	g := NewWithT(t)
	j := &journal{}
	kernel.Register(&recorder{id: "order.a", journal: j})
	kernel.Register(&recorder{id: "order.b", journal: j})
	r := newRuntime()
	ctx := context.Background()

	g.Expect(r.Load("order.a", "order.b")).To(Succeed())
	g.Expect(r.Start(ctx)).To(Succeed())
	g.Expect(r.Dump()).To(Equal(map[string]any{"order.a": "order.a", "order.b": "order.b"}))
	g.Expect(r.Drain(ctx)).To(Succeed())
	g.Expect(r.Stop(ctx)).To(Succeed())

	g.Expect(j.steps).To(Equal([]string{
		"order.a provision", "order.b provision",
		"order.a validate", "order.b validate",
		"order.a start", "order.b start",
		"order.b drain", "order.a drain",
		"order.b stop", "order.a stop",
	}))
}

func TestNothingStartsWhenValidationFails(t *testing.T) {
	g := NewWithT(t)
	j := &journal{}
	kernel.Register(&recorder{id: "invalid.a", journal: j})
	kernel.Register(&recorder{id: "invalid.b", journal: j, failAt: "validate"})
	r := newRuntime()

	err := r.Load("invalid.a", "invalid.b")

	var step *kernel.StepError
	g.Expect(err).To(BeAssignableToTypeOf(step))
	g.Expect(j.steps).NotTo(ContainElement(ContainSubstring("start")))
}

func TestStartedModulesAreStoppedWhenALaterOneFails(t *testing.T) {
	g := NewWithT(t)
	j := &journal{}
	kernel.Register(&recorder{id: "undo.a", journal: j})
	kernel.Register(&recorder{id: "undo.b", journal: j, failAt: "start"})
	r := newRuntime()

	g.Expect(r.Load("undo.a", "undo.b")).To(Succeed())
	err := r.Start(context.Background())

	g.Expect(err).To(HaveOccurred())
	g.Expect(j.steps).To(ContainElement("undo.a stop"))
	g.Expect(j.steps).NotTo(ContainElement("undo.b stop"))
}

func TestDrainAndStopGoOnAfterAFailure(t *testing.T) {
	g := NewWithT(t)
	j := &journal{}
	kernel.Register(&recorder{id: "goon.a", journal: j})
	kernel.Register(&recorder{id: "goon.b", journal: j, failAt: "drain"})
	r := newRuntime()
	ctx := context.Background()

	g.Expect(r.Load("goon.a", "goon.b")).To(Succeed())
	g.Expect(r.Start(ctx)).To(Succeed())
	g.Expect(r.Drain(ctx)).NotTo(Succeed())

	g.Expect(j.steps).To(ContainElement("goon.a drain"))
}

func TestRegisterRefusesARepeatedID(t *testing.T) {
	g := NewWithT(t)
	j := &journal{}
	kernel.Register(&recorder{id: "twice.a", journal: j})
	g.Expect(func() { kernel.Register(&recorder{id: "twice.a", journal: j}) }).To(Panic())
}

func TestServicesAreFoundByType(t *testing.T) {
	g := NewWithT(t)
	ctx := kernel.NewContext(kernel.Identity{}, hclog.NewNullLogger())

	_, err := kernel.Use[*journal](ctx)
	var missing *kernel.MissingServiceError
	g.Expect(err).To(BeAssignableToTypeOf(missing))

	j := &journal{}
	g.Expect(kernel.Provide(ctx, j)).To(Succeed())
	g.Expect(kernel.Provide(ctx, j)).NotTo(Succeed())
	found, err := kernel.Use[*journal](ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeIdenticalTo(j))
}
