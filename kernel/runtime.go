package kernel

import (
	"context"
	"errors"
	"time"
)

// Runtime runs the modules of one process through their life cycle in a fixed
// order: every module is provisioned and validated before any is started.
type Runtime struct {
	ctx     *Context
	modules []loaded
	started int // modules[:started] have been started and not yet stopped
}

type loaded struct {
	id     ModuleID
	module Module
}

// NewRuntime returns a runtime without modules.
func NewRuntime(ctx *Context) *Runtime {
	return &Runtime{ctx: ctx}
}

// Context returns the context that the modules share.
func (r *Runtime) Context() *Context { return r.ctx }

// Load creates and provisions the modules in order, then validates all of them.
// When a step fails nothing has been started.
func (r *Runtime) Load(ids ...ModuleID) error {
	first := len(r.modules)
	for _, id := range ids {
		if err := r.provision(id); err != nil {
			return err
		}
	}
	for _, l := range r.modules[first:] {
		if err := validate(l); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runtime) provision(id ModuleID) error {
	module, err := New(id)
	if err != nil {
		return err
	}
	r.modules = append(r.modules, loaded{id: id, module: module})
	provisioner, ok := module.(Provisioner)
	if !ok {
		return nil
	}
	if err := provisioner.Provision(r.ctx); err != nil {
		return &StepError{ID: id, Step: "provision", Cause: err}
	}
	return nil
}

func validate(l loaded) error {
	validator, ok := l.module.(Validator)
	if !ok {
		return nil
	}
	if err := validator.Validate(); err != nil {
		return &StepError{ID: l.id, Step: "validate", Cause: err}
	}
	return nil
}

// Start starts the loaded modules in order. When one fails, those already
// started are stopped again.
func (r *Runtime) Start(ctx context.Context) error {
	for r.started < len(r.modules) {
		l := r.modules[r.started]
		starter, ok := l.module.(Starter)
		if ok {
			startedAt := time.Now()
			if err := starter.Start(ctx); err != nil {
				stopErr := r.Stop(ctx)
				return errors.Join(&StepError{ID: l.id, Step: "start", Cause: err}, stopErr)
			}
			eventModuleStarted.Log(r.ctx.Logger, "module", l.id, "took", time.Since(startedAt))
		}
		r.started++
	}
	return nil
}

// Drain lets the modules give up their duties, last started first. It goes on
// after a failure and returns all failures.
func (r *Runtime) Drain(ctx context.Context) error {
	var failures []error
	for i := r.started - 1; i >= 0; i-- {
		l := r.modules[i]
		drainer, ok := l.module.(Drainer)
		if !ok {
			continue
		}
		if err := drainer.Drain(ctx); err != nil {
			failures = append(failures, &StepError{ID: l.id, Step: "drain", Cause: err})
		}
		eventModuleDrained.Log(r.ctx.Logger, "module", l.id)
	}
	return errors.Join(failures...)
}

// Stop stops the started modules, last started first. It goes on after a
// failure and returns all failures.
func (r *Runtime) Stop(ctx context.Context) error {
	var failures []error
	for r.started > 0 {
		r.started--
		l := r.modules[r.started]
		stopper, ok := l.module.(Stopper)
		if !ok {
			continue
		}
		if err := stopper.Stop(ctx); err != nil {
			failures = append(failures, &StepError{ID: l.id, Step: "stop", Cause: err})
		}
		eventModuleStopped.Log(r.ctx.Logger, "module", l.id)
	}
	return errors.Join(failures...)
}

// Dump collects the state of every module that has one, by module ID. It
// allocates and may take each module's locks.
func (r *Runtime) Dump() map[string]any {
	dump := make(map[string]any, len(r.modules))
	for _, l := range r.modules {
		if dumper, ok := l.module.(Dumper); ok {
			dump[string(l.id)] = dumper.Dump()
		}
	}
	return dump
}

// Addresses returns the bound address of every module's listener.
func (r *Runtime) Addresses() map[ListenerRole]string {
	addresses := map[ListenerRole]string{}
	for _, l := range r.modules {
		if listening, ok := l.module.(Listening); ok {
			role, address := listening.ListenAddress()
			addresses[role] = address
		}
	}
	return addresses
}
