package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/dig"

	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
)

// reloadInterval is how often the settings file is looked at, since it may also
// change without a signal.
const reloadInterval = time.Second

type reloadParams struct {
	dig.In
	Settings  *settings.Settings
	Log       logr.Logger
	Directory *peer.Directory
}

// reloader takes over what may change in the settings of a running process:
// where control processes are looked for.
type reloader struct {
	p      reloadParams
	seen   time.Time
	cancel context.CancelFunc
}

func newReloader(p reloadParams) *reloader { return &reloader{p: p} }

// Start implements kernel.Starter.
func (r *reloader) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	r.seen = r.changed()
	go r.run(ctx, hup)
	return nil
}

// Stop implements kernel.Stopper. SIGHUP stays without effect.
func (r *reloader) Stop(context.Context) error {
	r.cancel()
	return nil
}

func (r *reloader) run(ctx context.Context, hup chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.load("signal")
		case <-ticker.C:
			if at := r.changed(); !at.Equal(r.seen) {
				r.seen = at
				r.load("file changed")
			}
		}
	}
}

// changed returns when the file was last written; zero when it cannot be seen.
func (r *reloader) changed() time.Time {
	info, err := os.Stat(r.p.Settings.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// load keeps the settings in force when the file is not valid.
func (r *reloader) load(why string) {
	next, err := settings.Load(r.p.Settings.File)
	if err != nil {
		r.p.Log.Error(err, "settings not reloaded", "reason", why)
		return
	}
	r.p.Directory.Configure(next.Peers.Control)
	r.p.Log.Info("settings reloaded", "reason", why, "control", next.Peers.Control)
}
