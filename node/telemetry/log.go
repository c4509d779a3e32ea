// Package telemetry holds the structured logs and metrics of a node.
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
	Decisions *slog.Logger // through an asynchronous writer
	writer    *Writer
}

// NewLogs returns loggers that write to w. Format is "text" or "json".
func NewLogs(w io.Writer, format, level string) (*Logs, error) {
	var l Logs
	l.Level = new(slog.LevelVar)
	if err := l.SetLevel(level); err != nil {
		return nil, err
	}
	l.writer = NewWriter(w)
	options := &slog.HandlerOptions{Level: l.Level}
	switch format {
	case "", "text":
		l.Logger = slog.New(slog.NewTextHandler(l.writer, options))
	case "json":
		l.Logger = slog.New(slog.NewJSONHandler(l.writer, options))
	default:
		return nil, fmt.Errorf("log format %q is neither text nor json", format)
	}
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

// Close flushes everything.
func (l *Logs) Close() { l.writer.Close() }
