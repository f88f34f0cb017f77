// Package logging creates the process's logr.Logger, which writes one line of key=value
// pairs per event. Writing never blocks the code that logs.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Verbosity levels, for logr's V. Routine is for expected events: their lines have level info
// and are written after failures. Detail is for lines that only log level debug writes.
const (
	Routine = 1
	Detail  = 2
)

// RoutineLevel is Routine as a slog level.
const RoutineLevel = slog.Level(-Routine)

// New returns a logger for the named process, and a function that flushes it when the
// process ends. Level "debug" includes V(Detail).
func New(out io.Writer, process, level string) (log logr.Logger, flush func()) {
	opts := &slog.HandlerOptions{Level: RoutineLevel, ReplaceAttr: nameLevel}
	if level == "debug" {
		opts.Level = slog.Level(-Detail)
	}
	w := NewWriter(out)
	return logr.FromSlogHandler(newHandler(w, opts)).WithValues("process", process), w.Close
}

// nameLevel replaces the level's name: slog writes unnamed levels as an offset, such as DEBUG+3.
func nameLevel(groups []string, a slog.Attr) slog.Attr {
	level, ok := a.Value.Any().(slog.Level)
	if a.Key != slog.LevelKey || len(groups) > 0 || !ok {
		return a
	}
	switch level {
	case RoutineLevel:
		a.Value = slog.StringValue("INFO")
	case slog.Level(-Detail):
		a.Value = slog.StringValue("DEBUG")
	}
	return a
}
