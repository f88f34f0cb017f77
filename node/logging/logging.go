// Package logging makes the process's logr.Logger: one line of key=value
// pairs for each event, on standard error.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger for the named process. Level "debug" includes V(1).
func New(w io.Writer, process, level string) logr.Logger {
	opts := &slog.HandlerOptions{Level: slog.LevelInfo}
	if level == "debug" {
		opts.Level = slog.LevelDebug - 4
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, opts)).WithValues("process", process)
}
