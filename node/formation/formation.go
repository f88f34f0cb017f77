// Package formation decides which process founds a self-forming cluster. All
// processes start with the same list of seeds. The founder is the first seed
// that has a disk; whether a VM has one never changes, so two processes cannot
// both find that it is theirs to found. Where no seed has a disk, the seeds
// name a founder among those that ask: whoever a majority of them names.
//
// The package has no clock, goroutine or I/O.
package formation

// MethodHello is the method by which seeds are asked.
const MethodHello = "formation.hello"

// Hello asks a seed. Address is the caller's, which has a disk, if it asks to be
// named the founder.
type Hello struct {
	Address string `json:"address,omitempty"`
}

// Answer is what a seed says of itself. The zero value says nothing.
type Answer struct {
	Known   bool   `json:"known"`
	HasDisk bool   `json:"has_disk"`
	Founder string `json:"founder,omitempty"` // whom a seed without a disk names; it never names another one
}

// Rule follows what one process that has a disk hears at its first start.
type Rule struct {
	Self  string
	Seeds []string

	heard map[string]Answer
	named map[string]Answer // answers to the question to be named
}

// Step is what the process does next. The zero value is to wait: another
// process founds.
type Step struct {
	Found bool
	Ask   string // address of a seed
	Hello Hello  // the question
}

// Heard notes a seed's answer to the question.
func (r *Rule) Heard(seed string, h Hello, a Answer) {
	if !a.Known {
		return
	}
	if r.heard == nil {
		r.heard, r.named = map[string]Answer{}, map[string]Answer{}
	}
	if h.Address != "" {
		r.named[seed] = a
		return
	}
	r.heard[seed] = a
}

// Next returns the next step.
func (r *Rule) Next() Step {
	for _, seed := range r.Seeds {
		if seed == r.Self {
			return Step{Found: true} // every seed before it has no disk
		}
		a, known := r.heard[seed]
		if !known {
			return Step{Ask: seed}
		}
		if a.HasDisk {
			return Step{}
		}
	}
	return r.claim()
}

// claim asks the seeds, none of which has a disk, to name this process. They are
// asked in order, and one that names another process ends the round, so that no
// three processes hold one seed each.
func (r *Rule) claim() Step {
	mine := 0
	for _, seed := range r.Seeds {
		a, known := r.named[seed]
		switch {
		case !known:
			return Step{Ask: seed, Hello: Hello{Address: r.Self}}
		case a.Founder == r.Self:
			mine++
		case a.Founder != "": // a seed that was not there at the first start names nobody
			return Step{}
		}
	}
	return Step{Found: 2*mine > len(r.Seeds)}
}

// Namer is a seed without a disk. It names the first process that asks for it, if it
// was there at the first start.
type Namer struct {
	FirstStart bool
	founder    string
}

// Hello answers a process that has a disk.
func (n *Namer) Hello(h Hello) Answer {
	if n.FirstStart && n.founder == "" && h.Address != "" {
		n.founder = h.Address
	}
	return Answer{Known: true, Founder: n.founder}
}
