// Package logging makes the process's logr.Logger: one line of key=value
// pairs for each event. Writing never blocks the code that logs.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Routine is the verbosity (logr's V) of lines about what went as it should:
// written at level info, after those of failures. Detail is that of lines which
// only level debug writes.
const (
	Routine = 1
	Detail  = 2
)

// RoutineLevel is Routine as slog numbers it.
const RoutineLevel = slog.Level(-Routine)

// New returns a logger for the named process, and the function that writes what
// waits when the process ends. Level "debug" includes V(Detail).
func New(out io.Writer, process, level string) (log logr.Logger, flush func()) {
	opts := &slog.HandlerOptions{Level: RoutineLevel, ReplaceAttr: nameLevel}
	if level == "debug" {
		opts.Level = slog.Level(-Detail)
	}
	w := NewWriter(out)
	return logr.FromSlogHandler(newHandler(w, opts)).WithValues("process", process), w.Close
}

// nameLevel writes the level's usual name; slog would write DEBUG+3 for Routine.
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
