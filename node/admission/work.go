package admission

import "caperdrum.org/api/optext"

// Work describes a request for the decision whether to shed it.
type Work struct {
	ShedOrder int      // shed order under overload: the lowest is shed first, a negative one never
	Services  []string // services with load shedding that the request uses, without duplicates
}

// Default shed orders.
const (
	neverShed             = -1
	shedOrderDeferrable   = 1
	shedOrderInteractive  = 2
	shedOrderConfirmation = 3
)

// PipelineWork returns the Work of a request to a pipeline.
func PipelineWork(p *optext.Pipeline, services map[string]*optext.Service) Work {
	w := Work{ShedOrder: shedOrder(p)}
	for _, st := range p.Stages {
		w.add(services[st.Service])
	}
	return w
}

// CallWork returns the Work of a direct call to a service. A confirmation is shed only for an overload of its
// own service, before its idempotency key is claimed.
func CallWork(sv *optext.Service) Work {
	w := Work{ShedOrder: shedOrderInteractive}
	if !sv.Repeatable {
		w.ShedOrder = shedOrderConfirmation
	}
	w.add(sv)
	return w
}

func (w *Work) add(sv *optext.Service) {
	if sv == nil || !sv.Shed {
		return
	}
	for _, name := range w.Services {
		if name == sv.Name {
			return
		}
	}
	w.Services = append(w.Services, sv.Name)
}

func shedOrder(p *optext.Pipeline) int {
	if p.ShedOrder != 0 {
		return p.ShedOrder
	}
	switch optext.Class(p.Class) {
	case optext.Deferrable:
		return shedOrderDeferrable
	case optext.Interactive:
		return shedOrderInteractive
	default:
		return neverShed
	}
}
