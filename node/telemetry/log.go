// Package telemetry implements the structured logs and the metrics of a node.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
)

// Logs bundles the loggers of a process. The level can be changed while the
// process runs.
type Logs struct {
	Level     *slog.LevelVar
	Logger    *slog.Logger
	Decisions *slog.Logger // for decision records; like Logger, it writes asynchronously
	writer    *Writer
}

// NewLogs returns loggers that write to w. Format is "text" or "json".
func NewLogs(w io.Writer, format, level string) (*Logs, error) {
	var l Logs
	l.Level = new(slog.LevelVar)
	if err := l.SetLevel(level); err != nil {
		return nil, err
	}
	options := &slog.HandlerOptions{Level: l.Level}
	handlers := map[string]func(io.Writer) slog.Handler{
		"":     func(w io.Writer) slog.Handler { return slog.NewTextHandler(w, options) },
		"text": func(w io.Writer) slog.Handler { return slog.NewTextHandler(w, options) },
		"json": func(w io.Writer) slog.Handler { return slog.NewJSONHandler(w, options) },
	}
	handler := handlers[format]
	if handler == nil {
		return nil, fmt.Errorf("log format %q is neither text nor json", format)
	}
	l.writer = NewWriter(w)
	l.Logger = slog.New(handler(l.writer))
	l.Decisions = l.Logger
	return &l, nil
}

// SetLevel changes the level: debug, info, warn or error.
func (l *Logs) SetLevel(level string) error {
	if level == "" {
		level = "info"
	}
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("log level %q: %w", level, err)
	}
	l.Level.Set(parsed)
	return nil
}

// Dropped returns the number of lines lost because the writer was too slow.
func (l *Logs) Dropped() int64 { return l.writer.Dropped() }

// Close writes all buffered lines and stops the writer.
func (l *Logs) Close() { l.writer.Close() }
