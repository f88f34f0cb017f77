package control

import "caperdrum.org/node/peer"

// Server returns the listener of the control role, so that other services of
// the same process can add methods before it starts.
func (s *Service) Server() *peer.Server { return s.server }

// LeaderError replaces an error that only says that this process does not
// lead by one that names the leader.
func (s *Service) LeaderError(err error) error { return s.leaderError(err) }

// NotLeader returns the error that sends a caller to the leader.
func (s *Service) NotLeader() error { return s.notLeader() }
