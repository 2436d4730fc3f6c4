package settings

import (
	"io"
	"log/slog"
)

// Logger returns a logger that writes records of at least the given level to w
// and adds the host to each. The level may change later, so it is not taken from
// l.
func (l Log) Logger(w io.Writer, host string, level slog.Leveler) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opts)).With("host", host)
	}
	return slog.New(slog.NewJSONHandler(w, opts)).With("host", host)
}

// SlogLevel returns the level of validated settings.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	// Validation admits only levels that slog can parse.
	_ = level.UnmarshalText([]byte(l.Level))
	return level
}
