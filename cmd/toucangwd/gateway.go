package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"toucangw.example/core/retrybudget"
	"toucangw.example/node"
	"toucangw.example/node/discovery"
	"toucangw.example/node/gateway"
	"toucangw.example/node/telemetry"
	"toucangw.example/platform"
	"toucangw.example/settings"
)

// loadGateway reads the settings of a node in gateway mode, which takes its
// routes from a store.
func loadGateway(path string) (*settings.Gateway, error) {
	data, err := readSettings(path)
	if err != nil {
		return nil, err
	}
	parsed, problems := settings.ParseGateway(settings.Source{Name: path, Data: data})
	if len(problems) > 0 {
		return nil, problems
	}
	return parsed, nil
}

// serveGateway runs a node in gateway mode until SIGTERM or SIGINT. SIGHUP
// reloads the settings; only the log level takes effect without a restart.
func serveGateway(path string, s *settings.Gateway, stdout, stderr io.Writer) int {
	// A SIGHUP during the start must not end the process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node.TuneGateway()
	logs, err := telemetry.NewLogs(stdout, "json", s.LogLevel.String())
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
		return exitFailed
	}
	defer logs.Close()
	logger := logs.Logger.With("node", s.Host.ID)
	var watcher *discovery.Watcher
	cfg := gatewayConfig(s, logger)
	cfg.OnNewer = func(version uint64, peer string) { watcher.NotifyNewer(version, peer) }
	g := gateway.New(cfg)
	watcher = discovery.New(discovery.Config{
		Source: platform.NewStore(s.Store.String(), logger), Sink: g, Logger: logger,
		Service: s.Host.Service, Address: s.Upstream, Count: g.StoreCall, FromPeer: g.View,
	})
	srv, err := gateway.NewServer(g, s, logger, platform.ReadinessPath, platform.MetricsPath)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
		return exitFailed
	}
	logger.Info("started", "program_version", version(), "zone", s.Host.Zone, "service", s.Host.Service)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watcher.Run(ctx)
	err = srv.Run(stopSignal(signals, path, logs, logger))
	if err != nil {
		logger.Error("stopped", "error", err.Error())
		if errors.Is(err, gateway.ErrDrainIncomplete) {
			return exitDrainIncomplete
		}
		return exitFailed
	}
	logger.Info("stopped")
	return exitOK
}

func gatewayConfig(s *settings.Gateway, logger *slog.Logger) gateway.Config {
	return gateway.Config{
		Host: s.Host.ID, Zone: s.Host.Zone, Service: s.Host.Service,
		Upstream: s.Upstream, PeerPort: s.Listen.Peers.Port(),
		RetryBudget: retrybudget.Config{Ratio: s.Retries.Ratio, Window: s.Retries.Window, MinRetries: s.Retries.Slack},
		Headers:     platform.Headers,
		Logger:      logger,
		Metrics:     gateway.NewMetrics(),
	}
}

// stopSignal returns a channel that is closed at the first SIGTERM or SIGINT.
// Until then, each SIGHUP reloads the settings.
func stopSignal(signals <-chan os.Signal, path string, logs *telemetry.Logs, logger *slog.Logger) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				close(stop)
				return
			}
			reload(path, logs, logger)
		}
	}()
	return stop
}

// reload reads the settings and applies those that can change while the node
// runs.
func reload(path string, logs *telemetry.Logs, logger *slog.Logger) {
	s, err := loadGateway(path)
	if err != nil {
		logger.Error("settings not reloaded; the previous settings remain active", "error", err.Error())
		return
	}
	if err := logs.SetLevel(s.LogLevel.String()); err != nil {
		logger.Error("settings not reloaded", "error", err.Error())
		return
	}
	logger.Info("settings reloaded", "log_level", s.LogLevel.String())
}
