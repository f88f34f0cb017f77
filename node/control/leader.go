package control

import "caperdrum.org/node/peer"

// Server returns the RPC server of the control role, so that other services of the process can register
// methods before it starts.
func (s *Service) Server() *peer.Server { return s.server }

// LeaderError replaces replica.ErrNotLeader by an error that contains the leader's address.
func (s *Service) LeaderError(err error) error { return s.leaderError(err) }

// NotLeader returns an error that redirects the caller to the leader.
func (s *Service) NotLeader() error { return s.notLeader() }
