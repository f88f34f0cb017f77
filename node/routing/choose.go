package routing

// choice is the scratch space of one Choose call. It is pooled, so that choosing
// allocates nothing.
type choice struct {
	Request
	group       *group
	random      func(n int) int // returns a number in [0, n)
	now         int64           // Unix nanoseconds
	expected    float64         // seconds for a request of this size with nothing cached
	holderArray [maxHolders]holder
	holders     []holder // backed by holderArray
	holderMask  uint64   // bit set of the holders' indexes modulo 64: a fast test that rules out most endpoints
	candidates  []candidate
}

const (
	fullScanLimit = 64 // up to this many endpoints, all are scored
	sampleSize    = 32 // above it, a random sample of this size and the endpoints with a cached prefix are scored
)

// Choose returns the endpoint for the request, or nil when none passes the filters.
func (s *Service) Choose(r Request) *Endpoint {
	st := s.table.Load().byService[r.Service]
	if st == nil {
		s.reportEmpty(r)
		return nil
	}
	p, ok := s.policies[r.Policy]
	if !ok {
		p = s.policies[policyPredicted]
	}
	c := s.choicePool.Get().(*choice)
	c.reset(r, st)
	c.random = s.random
	e := c.choose(&p, st)
	c.Request = Request{} // release the caller's memory before pooling
	c.group = nil
	s.choicePool.Put(c)
	if e == nil {
		s.reportEmpty(r)
	}
	return e
}

// reportEmpty calls the OnEmpty hook when a request's first attempt found no endpoint.
func (s *Service) reportEmpty(r Request) {
	if s.onEmpty != nil && len(r.Exclude) == 0 {
		s.onEmpty(r.Service)
	}
}

func (c *choice) reset(r Request, st *serviceTable) {
	g := st.group
	c.Request = r
	c.group = g
	c.now = r.Now.UnixNano()
	c.expected = g.expected(sizeClass(r.Size))
	c.holders = c.holderArray[:0]
	c.holderMask = 0
	c.candidates = c.candidates[:0]
	if g.prefixes != nil && len(r.Prefix) > 0 {
		c.holders = g.prefixes.holders(r.Prefix, secondOf(c.now), c.holders)
		known := 0
		if len(c.holders) > 0 {
			known = c.holders[0].blocks
		}
		c.holders = st.ring.homes(r.Prefix, known, c.holders)
		for i := range c.holders {
			c.holderMask |= 1 << (c.holders[i].endpoint % 64)
		}
	}
}

func (c *choice) choose(p *policy, st *serviceTable) *Endpoint {
	all := st.endpoints
	if len(all) > fullScanLimit && len(p.scorers) > 0 {
		c.scoreSample(p, all, st.byIndex)
	}
	if len(c.candidates) == 0 {
		c.scoreAll(p, all, passesAll)
	}
	if len(c.candidates) == 0 {
		c.scoreAll(p, all, passesRequired)
	}
	if len(c.candidates) == 0 {
		return nil
	}
	return p.picker.pick(c.candidates, c)
}

func (c *choice) scoreAll(p *policy, all []*Endpoint, passes func(*Endpoint, *choice) bool) {
	for _, e := range all {
		if passes(e, c) {
			c.candidates = append(c.candidates, candidate{e, p.cost(e, c)})
		}
	}
}

func (c *choice) scoreOne(p *policy, e *Endpoint) {
	if passesAll(e, c) {
		c.candidates = append(c.candidates, candidate{e, p.cost(e, c)})
	}
}

func (c *choice) scoreSample(p *policy, all []*Endpoint, byIndex map[uint16]*Endpoint) {
	for range sampleSize {
		c.scoreOne(p, all[c.random(len(all))])
	}
	for i := range c.holders {
		if e := byIndex[c.holders[i].endpoint]; e != nil {
			c.scoreOne(p, e)
		}
	}
}
