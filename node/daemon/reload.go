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

// reloadInterval is how often the modification time of the settings file is checked, since it may also change
// without a signal.
const reloadInterval = time.Second

type reloadParams struct {
	dig.In
	Settings  *settings.Settings
	Log       logr.Logger
	Directory *peer.Directory
}

// reloader applies the settings that can change at run time: the addresses of the control processes.
type reloader struct {
	p           reloadParams
	lastModTime time.Time
	cancel      context.CancelFunc
}

func newReloader(p reloadParams) *reloader { return &reloader{p: p} }

// Start implements kernel.Starter.
func (r *reloader) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	r.lastModTime = r.modTime()
	go r.run(ctx, hup)
	return nil
}

// Stop implements kernel.Stopper. SIGHUP remains caught and has no effect.
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
			r.reload("signal")
		case <-ticker.C:
			if at := r.modTime(); !at.Equal(r.lastModTime) {
				r.lastModTime = at
				r.reload("file changed")
			}
		}
	}
}

// modTime returns when the file was last modified; zero if it can't be read.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.p.Settings.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload keeps the current settings if the file is not valid.
func (r *reloader) reload(why string) {
	next, err := settings.Load(r.p.Settings.File)
	if err != nil {
		r.p.Log.Error(err, "failed to reload settings", "reason", why)
		return
	}
	r.p.Directory.Configure(next.Peers.Control)
	r.p.Log.Info("settings reloaded", "reason", why, "control", next.Peers.Control)
}
