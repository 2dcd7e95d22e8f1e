package kernel_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/topo"
)

// stepLog records the life-cycle steps of the modules under test.
type stepLog struct{ steps []string }

func (j *stepLog) add(step string) { j.steps = append(j.steps, step) }

// stepFailure is the typed error that a module under test returns.
type stepFailure struct{ step string }

func (f *stepFailure) Error() string { return f.step + " failed" }

type recordingModule struct {
	id     kernel.ModuleID
	log    *stepLog
	failAt string
}

func (r *recordingModule) ModuleInfo() kernel.Info {
	return kernel.Info{ID: r.id, New: func() kernel.Module { return r }}
}

func (r *recordingModule) step(name string) error {
	r.log.add(string(r.id) + " " + name)
	if r.failAt == name {
		return &stepFailure{step: name}
	}
	return nil
}

func (r *recordingModule) Provision(*kernel.Context) error { return r.step("provision") }
func (r *recordingModule) Validate() error                 { return r.step("validate") }
func (r *recordingModule) Start(context.Context) error     { return r.step("start") }
func (r *recordingModule) Drain(context.Context) error     { return r.step("drain") }
func (r *recordingModule) Stop(context.Context) error      { return r.step("stop") }
func (r *recordingModule) Dump() any                       { return string(r.id) }

func newRuntime() *kernel.Runtime {
	identity := kernel.Identity{Node: "n1", Zone: topo.Zone("a")}
	return kernel.NewRuntime(kernel.NewContext(identity, hclog.NewNullLogger()))
}

func TestLifeCycleOrder(t *testing.T) {
	g := NewWithT(t)
	j := &stepLog{}
	kernel.Register(&recordingModule{id: "order.a", log: j})
	kernel.Register(&recordingModule{id: "order.b", log: j})
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

func TestNothingStartsAfterValidationFailure(t *testing.T) {
	g := NewWithT(t)
	j := &stepLog{}
	kernel.Register(&recordingModule{id: "invalid.a", log: j})
	kernel.Register(&recordingModule{id: "invalid.b", log: j, failAt: "validate"})
	r := newRuntime()

	err := r.Load("invalid.a", "invalid.b")

	var step *kernel.StepError
	g.Expect(err).To(BeAssignableToTypeOf(step))
	g.Expect(j.steps).NotTo(ContainElement(ContainSubstring("start")))
}

func TestStartFailureStopsStartedModules(t *testing.T) {
	g := NewWithT(t)
	j := &stepLog{}
	kernel.Register(&recordingModule{id: "undo.a", log: j})
	kernel.Register(&recordingModule{id: "undo.b", log: j, failAt: "start"})
	r := newRuntime()

	g.Expect(r.Load("undo.a", "undo.b")).To(Succeed())
	err := r.Start(context.Background())

	g.Expect(err).To(HaveOccurred())
	g.Expect(j.steps).To(ContainElement("undo.a stop"))
	g.Expect(j.steps).NotTo(ContainElement("undo.b stop"))
}

func TestDrainContinuesAfterFailure(t *testing.T) {
	g := NewWithT(t)
	j := &stepLog{}
	kernel.Register(&recordingModule{id: "goon.a", log: j})
	kernel.Register(&recordingModule{id: "goon.b", log: j, failAt: "drain"})
	r := newRuntime()
	ctx := context.Background()

	g.Expect(r.Load("goon.a", "goon.b")).To(Succeed())
	g.Expect(r.Start(ctx)).To(Succeed())
	g.Expect(r.Drain(ctx)).NotTo(Succeed())

	g.Expect(j.steps).To(ContainElement("goon.a drain"))
}

func TestRegisterRejectsDuplicateID(t *testing.T) {
	g := NewWithT(t)
	j := &stepLog{}
	kernel.Register(&recordingModule{id: "twice.a", log: j})
	g.Expect(func() { kernel.Register(&recordingModule{id: "twice.a", log: j}) }).To(Panic())
}

func TestServicesAreFoundByType(t *testing.T) {
	g := NewWithT(t)
	ctx := kernel.NewContext(kernel.Identity{}, hclog.NewNullLogger())

	_, err := kernel.Use[*stepLog](ctx)
	var missing *kernel.MissingServiceError
	g.Expect(err).To(BeAssignableToTypeOf(missing))

	j := &stepLog{}
	g.Expect(kernel.Provide(ctx, j)).To(Succeed())
	g.Expect(kernel.Provide(ctx, j)).NotTo(Succeed())
	found, err := kernel.Use[*stepLog](ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeIdenticalTo(j))
}
