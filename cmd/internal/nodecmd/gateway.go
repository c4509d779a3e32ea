package nodecmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"time"

	"toucangw.example/core/retrybudget"
	"toucangw.example/node/discovery"
	"toucangw.example/node/gateway"
	"toucangw.example/node/telemetry"
	"toucangw.example/node/tuning"
	"toucangw.example/platform"
	"toucangw.example/settings"
)

// loadGateway reads the settings of a node in gateway mode, which takes its
// routes from a store.
func loadGateway(path string) (*settings.Gateway, error) {
	data, err := ReadSettings(path)
	if err != nil {
		return nil, err
	}
	parsed, problems := settings.ParseGateway(settings.Source{Name: path, Data: data})
	if len(problems) > 0 {
		return nil, problems
	}
	return parsed, nil
}

// RunGateway loads the settings of a node in gateway mode and runs it until
// SIGTERM or SIGINT. SIGHUP reloads the settings; only the log level takes effect
// without a restart. It returns the exit code.
func RunGateway(opts Options, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	parsed, err := loadGateway(opts.Config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if opts.Check {
		_, _ = fmt.Fprintln(stdout, opts.Config+": ok")
		return ExitOK
	}
	return serveGateway(opts.Config, parsed, signals, stdout, stderr)
}

func serveGateway(path string, s *settings.Gateway, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	tuning.Gateway()
	logs, err := telemetry.NewLogs(stdout, "json", s.LogLevel.String())
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
		return ExitFailed
	}
	defer logs.Close()
	logger := logs.Logger.With("node", s.Host.ID)
	var watcher *discovery.Watcher
	cfg := gatewayConfig(s, logger)
	cfg.ListAge = func() time.Duration { return watcher.Age() }
	cfg.ReadsStore = func() bool { return watcher.ReadsStore() }
	cfg.OnNewer = func(version uint64, peer string) { watcher.NotifyNewer(version, peer) }
	cfg.OnUpstream = func(id string) { watcher.NotifyLocal(id) }
	g := gateway.New(cfg)
	watcher = discovery.New(discovery.Config{
		Source: platform.NewStore(s.Store.String(), logger), Sink: g, Logger: logger,
		Service: s.Host.Service, Address: s.Upstream, Count: g.StoreCall, FromPeer: g.View, OnPanic: g.OnPanic,
		Zone: s.Host.Zone, Follow: g.Follow,
	})
	srv, err := gateway.NewServer(g, s, logger, platform.ReadinessPath, platform.MetricsPath)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
		return ExitFailed
	}
	logger.Info("started", "program_version", Version(), "zone", s.Host.Zone, "service", s.Host.Service)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watcher.Run(ctx)
	reloader := &reloader{path: path, active: s, logs: logs, logger: logger}
	err = srv.Run(stopSignal(signals, reloader.reload))
	if err != nil {
		logger.Error("stopped", "error", err.Error())
		if errors.Is(err, gateway.ErrDrainIncomplete) {
			return ExitDrainIncomplete
		}
		return ExitFailed
	}
	logger.Info("stopped")
	return ExitOK
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
// Until then, each SIGHUP calls reload.
func stopSignal(signals <-chan os.Signal, reload func()) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				close(stop)
				return
			}
			reload()
		}
	}()
	return stop
}

// reloader applies changed settings while the node runs.
type reloader struct {
	path   string
	active *settings.Gateway // settings at the start
	logs   *telemetry.Logs
	logger *slog.Logger
}

// reload reads the settings, applies the log level and logs which tables take
// effect at the next start only.
func (r *reloader) reload() {
	s, err := loadGateway(r.path)
	if err != nil {
		r.logger.Error("settings not reloaded; the previous settings remain active", "error", err.Error())
		return
	}
	if err := r.logs.SetLevel(s.LogLevel.String()); err != nil {
		r.logger.Error("settings not reloaded", "error", err.Error())
		return
	}
	r.logger.Info("settings reloaded", "log_level", s.LogLevel.String())
	if tables := r.active.NeedsRestart(s); len(tables) > 0 {
		r.logger.Warn("changed settings take effect at the next start", "tables", strings.Join(tables, ","))
	}
}
