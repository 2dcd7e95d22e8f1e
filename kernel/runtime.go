package kernel

import (
	"context"
	"errors"
	"time"
)

// Runtime runs the modules of one process through their life cycle in a fixed
// order: every module is provisioned and validated before the first is started.
type Runtime struct {
	ctx     *Context
	modules []loadedModule
	started int // modules[:started] have been started and not yet stopped
}

type loadedModule struct {
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
// If a step fails, no module of this call has been started.
func (r *Runtime) Load(ids ...ModuleID) error {
	first := len(r.modules)
	for _, id := range ids {
		if err := r.provision(id); err != nil {
			return err
		}
	}
	for _, loaded := range r.modules[first:] {
		if err := validate(loaded); err != nil {
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
	r.modules = append(r.modules, loadedModule{id: id, module: module})
	provisioner, ok := module.(Provisioner)
	if !ok {
		return nil
	}
	if err := provisioner.Provision(r.ctx); err != nil {
		return &StepError{ID: id, Step: "provision", Cause: err}
	}
	return nil
}

func validate(loaded loadedModule) error {
	validator, ok := loaded.module.(Validator)
	if !ok {
		return nil
	}
	if err := validator.Validate(); err != nil {
		return &StepError{ID: loaded.id, Step: "validate", Cause: err}
	}
	return nil
}

// Start starts the loaded modules in order. If one fails, the modules that were
// already started are stopped.
func (r *Runtime) Start(ctx context.Context) error {
	for r.started < len(r.modules) {
		loaded := r.modules[r.started]
		starter, ok := loaded.module.(Starter)
		if ok {
			startedAt := time.Now()
			if err := starter.Start(ctx); err != nil {
				stopErr := r.Stop(ctx)
				return errors.Join(&StepError{ID: loaded.id, Step: "start", Cause: err}, stopErr)
			}
			eventModuleStarted.Log(r.ctx.Logger, "module", loaded.id, "took", time.Since(startedAt))
		}
		r.started++
	}
	return nil
}

// Drain drains the started modules in reverse start order. It continues after a
// failure and returns all failures.
func (r *Runtime) Drain(ctx context.Context) error {
	var failures []error
	for i := r.started - 1; i >= 0; i-- {
		loaded := r.modules[i]
		drainer, ok := loaded.module.(Drainer)
		if !ok {
			continue
		}
		if err := drainer.Drain(ctx); err != nil {
			failures = append(failures, &StepError{ID: loaded.id, Step: "drain", Cause: err})
		}
		eventModuleDrained.Log(r.ctx.Logger, "module", loaded.id)
	}
	return errors.Join(failures...)
}

// Stop stops the started modules in reverse start order. It continues after a
// failure and returns all failures.
func (r *Runtime) Stop(ctx context.Context) error {
	var failures []error
	for r.started > 0 {
		r.started--
		loaded := r.modules[r.started]
		stopper, ok := loaded.module.(Stopper)
		if !ok {
			continue
		}
		if err := stopper.Stop(ctx); err != nil {
			failures = append(failures, &StepError{ID: loaded.id, Step: "stop", Cause: err})
		}
		eventModuleStopped.Log(r.ctx.Logger, "module", loaded.id)
	}
	return errors.Join(failures...)
}

// Dump returns the state of every module that implements Dumper, by module ID.
// It allocates and may acquire each module's locks.
func (r *Runtime) Dump() map[string]any {
	dump := make(map[string]any, len(r.modules))
	for _, loaded := range r.modules {
		if dumper, ok := loaded.module.(Dumper); ok {
			dump[string(loaded.id)] = dumper.Dump()
		}
	}
	return dump
}

// Addresses returns the bound address of every module's listener, by role.
func (r *Runtime) Addresses() map[ListenerRole]string {
	addresses := map[ListenerRole]string{}
	for _, loaded := range r.modules {
		if listening, ok := loaded.module.(Listening); ok {
			role, address := listening.ListenAddress()
			addresses[role] = address
		}
	}
	return addresses
}
