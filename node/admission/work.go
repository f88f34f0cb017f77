package admission

import "caperdrum.org/api/optext"

// Work is what a request needs.
type Work struct {
	Order    int      // of what is shed first under overload, lowest first; negative for never
	Services []string // that take part in shedding, each once
}

// Orders of work whose text names none.
const (
	neverShed             = -1
	shedOrderDeferrable   = 1
	shedOrderInteractive  = 2
	shedOrderConfirmation = 3
)

// OfPipeline returns what a request to a pipeline needs.
func OfPipeline(p *optext.Pipeline, services map[string]*optext.Service) Work {
	w := Work{Order: shedOrder(p)}
	for _, st := range p.Stages {
		w.add(services[st.Service])
	}
	return w
}

// OfCall returns what a single call needs. A confirmation is refused here only
// when its own service has too much work: its key is then not claimed in vain.
func OfCall(sv *optext.Service) Work {
	w := Work{Order: shedOrderInteractive}
	if !sv.Repeatable {
		w.Order = shedOrderConfirmation
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
