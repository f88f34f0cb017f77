package stagework

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/node/internal/rapidtest"
	"caperdrum.org/node/upstream"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261202", "checks=3000") }

// noNotices returns notices of upstreams that have announced nothing.
func noNotices() *upstream.Notices {
	return upstream.NewNotices(logr.Discard(), clockwork.NewRealClock())
}
