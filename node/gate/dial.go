package gate

import (
	"net"

	"github.com/juju/errors"
)

// isDialError reports whether the connection could not be established, so
// that no part of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
