// Package formation decides which process bootstraps a self-forming cluster (the founder). All processes
// start with the same list of seeds. The founder is the first seed that has a disk. Whether a VM has a disk
// never changes, so two processes can't both conclude that they are the founder. If no seed has a disk, the
// seeds vote for one of the processes that ask them, and the one with a majority of the votes is the founder.
// The package has no clock, goroutine or I/O.
package formation

// MethodHello is the peer method that queries a seed.
const MethodHello = "formation.hello"

// Hello queries a seed. Address is set if the caller, which has a disk, requests the seed's vote; it is the
// caller's address.
type Hello struct {
	Address string `json:"address,omitempty"`
}

// HelloReply is the reply of a seed. The zero value carries no information.
type HelloReply struct {
	Known   bool   `json:"known"`
	HasDisk bool   `json:"has_disk"`
	Founder string `json:"founder,omitempty"` // whom a seed without a disk has voted for; it never changes its vote
}

// FounderElection is the state of a process with a disk at its first start: what it has learned from the seeds, and what
// to do next.
type FounderElection struct {
	Self  string
	Seeds []string

	replies map[string]HelloReply
	votes   map[string]HelloReply // replies to vote requests, by seed
}

// Step is the next action of the process. The zero value means to wait, because another process is the
// founder.
type Step struct {
	BecomeFounder bool
	Seed          string // address of the seed to query
	Hello         Hello  // the query to send
}

// RecordReply records the reply of a seed to a query.
func (r *FounderElection) RecordReply(seed string, h Hello, a HelloReply) {
	if !a.Known {
		return
	}
	if r.replies == nil {
		r.replies, r.votes = map[string]HelloReply{}, map[string]HelloReply{}
	}
	if h.Address != "" {
		r.votes[seed] = a
		return
	}
	r.replies[seed] = a
}

// Next returns the next step.
func (r *FounderElection) Next() Step {
	for _, seed := range r.Seeds {
		if seed == r.Self {
			return Step{BecomeFounder: true} // all seeds before it have no disk
		}
		a, known := r.replies[seed]
		if !known {
			return Step{Seed: seed}
		}
		if a.HasDisk {
			return Step{}
		}
	}
	return r.requestVotes()
}

// requestVotes asks the seeds, none of which has a disk, to vote for this process. They are asked in list
// order, and a vote for another process ends the round. Otherwise three processes could hold one vote each,
// and none a majority.
func (r *FounderElection) requestVotes() Step {
	ownVotes := 0
	for _, seed := range r.Seeds {
		a, known := r.votes[seed]
		switch {
		case !known:
			return Step{Seed: seed, Hello: Hello{Address: r.Self}}
		case a.Founder == r.Self:
			ownVotes++
		case a.Founder != "": // a seed that was restarted since the first start does not vote
			return Step{}
		}
	}
	return Step{BecomeFounder: 2*ownVotes > len(r.Seeds)}
}

// Elector is the vote of a seed without a disk. It votes for the first process that requests its vote, but only
// at its first start: after a restart it has forgotten an earlier vote.
type Elector struct {
	FirstStart bool
	votedFor   string
}

// HandleHello replies to a query of a process that has a disk.
func (n *Elector) HandleHello(h Hello) HelloReply {
	if n.FirstStart && n.votedFor == "" && h.Address != "" {
		n.votedFor = h.Address
	}
	return HelloReply{Known: true, Founder: n.votedFor}
}
