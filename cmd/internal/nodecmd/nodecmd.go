// Package nodecmd holds what the node programs have in common, and gateway mode,
// which both of them offer.
package nodecmd

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
)

// Exit codes of the node programs.
const (
	ExitOK              = 0
	ExitFailed          = 1 // could not start, or a listener failed
	ExitSettings        = 2 // settings or command line are not valid
	ExitDrainIncomplete = 3 // stopped before all in-flight calls had ended
)

// NotifySignals returns a channel that receives the signals that stop a node or
// reload its settings. A program calls it before it reads anything, so that
// signals during its start are not fatal but wait until it has started.
func NotifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// ReadSettings reads a settings file.
func ReadSettings(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("toucangwd: -c FILE is required")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("toucangwd: read settings: %w", err)
	}
	return data, nil
}

// Version returns the revision from which the program was built.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
