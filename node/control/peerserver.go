package control

import (
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/peer"
)

// PeerServer returns the peer server of a process, at which its services register their methods before it starts. The
// control role runs it where the process has that role (c is nil otherwise), and discovery where it has not.
func PeerServer(d *discovery.Service, c *Service) *peer.Server {
	if server := d.Server(); server != nil {
		return server
	}
	return c.Server()
}
