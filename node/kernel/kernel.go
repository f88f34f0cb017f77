// Package kernel wires the modules of the daemon by dependency injection and runs their life cycle; it knows
// nothing about what they do. The constructor of a module lists the services that it needs as fields of a
// dig.In struct with `name` tags. The kernel builds the modules in dependency order, starts them, and stops
// them in reverse order.
package kernel

import (
	"context"
	"reflect"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/node/logging"
)

// Module is a named service of the daemon.
type Module struct {
	Name string
	New  any // dig constructor; its first result is the service
}

// Validator is a service that validates its settings before any module starts.
type Validator interface{ Validate() error }

// Starter is a service with work to start. Start must not block; ctx limits only the start itself.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a service that must be stopped. Stop completes the work in flight until ctx ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Drainer is a service that others have to know to be stopping before its turn to stop comes, such as one that load
// balancers send callers to. BeginStop must not block. The services that stop before it may take long.
type Drainer interface {
	BeginStop()
}

// Kernel holds the modules of a process.
type Kernel struct {
	log       logr.Logger
	container *dig.Container
	modules   []Module
	services  map[string]any
	started   []Module
	failed    chan error
}

// New returns a kernel without modules.
func New(log logr.Logger) *Kernel {
	k := &Kernel{log: log, container: dig.New(), services: map[string]any{}, failed: make(chan error, 1)}
	k.Provide(func() *Kernel { return k })
	return k
}

// Provide registers a constructor for an unnamed value that every module can depend on.
func (k *Kernel) Provide(constructor any) {
	if err := k.container.Provide(constructor); err != nil {
		panic("kernel: " + err.Error())
	}
}

// Add registers modules. They start in the order of registration.
func (k *Kernel) Add(modules ...Module) error {
	for _, m := range modules {
		if err := k.container.Provide(m.New, dig.Name(m.Name)); err != nil {
			return errors.Annotatef(err, "module %s", m.Name)
		}
		k.modules = append(k.modules, m)
	}
	return nil
}

// Fail reports that a running service can't continue. The first reported error stops the process.
func (k *Kernel) Fail(err error) {
	select {
	case k.failed <- err:
	default:
	}
}

// Provision builds and validates all modules without starting any.
func (k *Kernel) Provision() error {
	for _, m := range k.modules {
		service, err := k.resolve(m)
		if err != nil {
			return errors.Annotatef(dig.RootCause(err), "module %s", m.Name)
		}
		k.services[m.Name] = service
		if v, ok := service.(Validator); ok {
			if err := v.Validate(); err != nil {
				return errors.Annotatef(err, "module %s", m.Name)
			}
		}
	}
	return nil
}

// resolve gets the named service from the container through a dig.In struct that is generated for the
// constructor's result type.
func (k *Kernel) resolve(m Module) (any, error) {
	result := reflect.TypeOf(m.New).Out(0)
	in := reflect.StructOf([]reflect.StructField{
		{Name: "In", Type: reflect.TypeFor[dig.In](), Anonymous: true},
		{Name: "Service", Type: result, Tag: reflect.StructTag(`name:"` + m.Name + `"`)},
	})
	var service any
	invoke := reflect.MakeFunc(reflect.FuncOf([]reflect.Type{in}, nil, false), func(args []reflect.Value) []reflect.Value {
		service = args[0].FieldByName("Service").Interface()
		return nil
	})
	err := k.container.Invoke(invoke.Interface())
	return service, err
}

// Start starts all modules until one fails; the caller must then stop those that were started.
func (k *Kernel) Start(ctx context.Context) error {
	for _, m := range k.modules {
		if s, ok := k.services[m.Name].(Starter); ok {
			if err := s.Start(ctx); err != nil {
				return errors.Annotatef(err, "module %s", m.Name)
			}
		}
		k.started = append(k.started, m)
		k.log.V(logging.Detail).Info("module started", "module", m.Name)
	}
	return nil
}

// Stop tells the started modules that they will be stopped, stops them in reverse order, and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	for i := len(k.started) - 1; i >= 0; i-- {
		if d, ok := k.services[k.started[i].Name].(Drainer); ok {
			d.BeginStop()
		}
	}
	var first error
	for i := len(k.started) - 1; i >= 0; i-- {
		m := k.started[i]
		s, ok := k.services[m.Name].(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			k.log.Error(err, "module did not stop cleanly", "module", m.Name)
			if first == nil {
				first = errors.Annotatef(err, "module %s", m.Name)
			}
		}
	}
	k.started = nil
	return first
}

// Run provisions and starts all modules, waits until ctx ends or a service fails, and then stops them all
// within the context that drain returns.
func (k *Kernel) Run(ctx context.Context, drain func() (context.Context, context.CancelFunc)) error {
	if err := k.Provision(); err != nil {
		return err
	}
	err := k.Start(ctx)
	if err == nil {
		k.log.Info("ready")
		select {
		case <-ctx.Done():
		case err = <-k.failed:
		}
	}
	stopCtx, cancel := drain()
	defer cancel()
	if stopErr := k.Stop(stopCtx); err == nil {
		err = stopErr
	}
	k.log.Info("stopped")
	return err
}
