package gate

import (
	"net"

	"github.com/juju/errors"
)

// isDialError reports whether the connection was never made, so that nothing
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
