package wire

// Evacuation says whether a data centre's upstreams get no new calls.
type Evacuation struct {
	DataCenter string `json:"data_center"`
	// Revision grows with every order that was acknowledged for the data centre, also with
	// one that found it as ordered. An order that was made for an older one is void.
	Revision uint64 `json:"revision"`
	Out      bool   `json:"out"`
	Since    int64  `json:"since"` // leader's clock when Out became what it is, milliseconds since the Unix epoch
}

// Evacuations are the data centres for which there ever was an order.
type Evacuations struct {
	Revision uint64       `json:"revision"` // grows with each of theirs
	List     []Evacuation `json:"list"`     // sorted by data centre
}

// Of returns what is known of a data centre; its zero value where there never was an order.
func (e Evacuations) Of(dataCenter string) Evacuation {
	for _, x := range e.List {
		if x.DataCenter == dataCenter {
			return x
		}
	}
	return Evacuation{DataCenter: dataCenter}
}

// Out returns the data centres that are evacuated.
func (e Evacuations) Out() []string {
	var out []string
	for _, x := range e.List {
		if x.Out {
			out = append(out, x.DataCenter)
		}
	}
	return out
}

// EvacuationOrder starts or ends the evacuation of a data centre. Operators' orders have no
// number and may be delayed on the way, so each names the revision that its receiver knew
// when it came: one that was overtaken has no effect.
type EvacuationOrder struct {
	DataCenter string `json:"data_center"`
	Out        bool   `json:"out"`
	Base       uint64 `json:"base"`
	Author     string `json:"author,omitempty"`
}

// EvacuationResult answers an EvacuationOrder.
type EvacuationResult struct {
	Evacuation Evacuation `json:"evacuation"` // as it stands now
	Overtaken  bool       `json:"overtaken"`  // another order came first; this one had no effect
	Changed    bool       `json:"changed"`
}
