package settings

import (
	"io"
	"log/slog"
)

// Logger returns a logger to w whose lines name the host; those below the level are
// left out.
func (l Log) Logger(w io.Writer, host string, level slog.Leveler) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opts)).With("host", host)
	}
	return slog.New(slog.NewJSONHandler(w, opts)).With("host", host)
}

// SlogLevel returns the level, for settings that were checked.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	// The settings were checked, so the level is one that slog knows.
	_ = level.UnmarshalText([]byte(l.Level))
	return level
}
