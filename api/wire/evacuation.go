package wire

// Evacuation states whether a data centre is evacuated: its upstreams get no new calls.
type Evacuation struct {
	DataCenter string `json:"data_center"`
	// Revision grows with every acknowledged order for the data centre, including orders that
	// changed nothing. An order based on an older revision has no effect.
	Revision  uint64 `json:"revision"`
	Evacuated bool   `json:"out"`
	Since     int64  `json:"since"` // time of the last change of Evacuated by the leader's clock, in milliseconds since the Unix epoch
}

// Evacuations are the states of all data centres that ever had an evacuation order.
type Evacuations struct {
	Revision uint64       `json:"revision"` // grows with the revision of any data centre
	List     []Evacuation `json:"list"`     // sorted by data centre
}

// Of returns the state of a data centre, with revision zero if it never had an order.
func (e Evacuations) Of(dataCenter string) Evacuation {
	for _, x := range e.List {
		if x.DataCenter == dataCenter {
			return x
		}
	}
	return Evacuation{DataCenter: dataCenter}
}

// Evacuated returns the names of the evacuated data centres.
func (e Evacuations) Evacuated() []string {
	var out []string
	for _, x := range e.List {
		if x.Evacuated {
			out = append(out, x.DataCenter)
		}
	}
	return out
}

// EvacuationOrder starts or ends the evacuation of a data centre. Operators' orders are not
// numbered and may arrive late, so the process that receives one records in Base the revision
// that it knew on receipt. An order whose Base is outdated has no effect.
type EvacuationOrder struct {
	DataCenter string `json:"data_center"`
	Evacuate   bool   `json:"out"`
	Base       uint64 `json:"base"`
	Author     string `json:"author,omitempty"`
}

// EvacuationResult answers an EvacuationOrder.
type EvacuationResult struct {
	Evacuation Evacuation `json:"evacuation"` // current state
	Overtaken  bool       `json:"overtaken"`  // another order came first, so this one had no effect
	Changed    bool       `json:"changed"`
}
