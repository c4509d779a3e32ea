package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"toucangw.example/node/http1"
	"toucangw.example/settings"
)

// ErrDrainIncomplete is returned if requests were still in progress at the end of the
// grace period.
var ErrDrainIncomplete = errors.New("stopped with requests in progress")

const (
	// cutMargin is left of the grace period to end in order. A process that is
	// short of processor time needs some hundred milliseconds.
	cutMargin = 500 * time.Millisecond
	// peerIdleTimeout is longer than peerIdle, so that the node that opened a
	// connection closes it.
	peerIdleTimeout = 2 * peerIdle
	peerMaxHeader   = 16<<10 + 512
	idleCheck       = 20 * time.Millisecond
)

// Server runs the listeners of a gateway.
type Server struct {
	gateway   *Gateway
	settings  *settings.Gateway
	logger    *slog.Logger
	callers   *http1.Server
	peers     *http1.Server
	readiness *http.Server
	metrics   *http.Server
	listeners []net.Listener
	failed    chan error
}

// NewServer opens the listeners. Paths are those of the readiness check and
// the metrics.
func NewServer(g *Gateway, s *settings.Gateway, logger *slog.Logger, readinessPath, metricsPath string) (*Server, error) {
	srv := &Server{
		gateway: g, settings: s, logger: logger, failed: make(chan error, 4),
		callers: http1.NewServer(g.ServeClient, g.Limits),
		peers: http1.NewServer(g.ServePeer, func() http1.Limits {
			return http1.Limits{MaxHeader: peerMaxHeader, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: peerIdleTimeout}
		}),
		readiness: &http.Server{Handler: pathHandler(readinessPath, g.serveReadiness), ReadHeaderTimeout: defaultHeaderTimeout},
		metrics:   &http.Server{Handler: pathHandler(metricsPath, g.cfg.Metrics.Handler().ServeHTTP), ReadHeaderTimeout: defaultHeaderTimeout},
	}
	if err := srv.listen(); err != nil {
		for _, l := range srv.listeners {
			_ = l.Close()
		}
		return nil, err
	}
	return srv, nil
}

func pathHandler(path string, h http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, h)
	return mux
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) listen() error {
	l := s.settings.Listen
	for _, open := range []struct {
		name, address string
		wanted        bool
		serve         func(net.Listener) error
	}{
		{"callers", l.Callers.String(), true, s.callers.Serve},
		{"peers", l.Peers.String(), true, s.peers.Serve},
		{"readiness", l.Readiness.String(), true, s.readiness.Serve},
		{"metrics", l.Metrics.String(), l.Metrics.IsValid(), s.metrics.Serve},
	} {
		if !open.wanted {
			continue
		}
		lis, err := net.Listen("tcp", open.address)
		if err != nil {
			return fmt.Errorf("listen.%s: %w", open.name, err)
		}
		s.listeners = append(s.listeners, lis)
		go func() {
			err := open.serve(lis)
			if !errors.Is(err, http1.ErrServerClosed) && !errors.Is(err, http.ErrServerClosed) {
				s.failed <- fmt.Errorf("listen.%s: %w", open.name, err)
			}
		}()
	}
	return nil
}

// Run serves until stop is closed and then ends in order: readiness fails at
// once, requests are served until clients have had time to notice, and those in
// progress end within the grace period.
func (s *Server) Run(stop <-chan struct{}) error {
	select {
	case err := <-s.failed:
		return err
	case <-stop:
	}
	started := time.Now()
	s.gateway.Drain()
	s.callers.Drain()
	s.logger.Info("stopping", "in_flight", s.gateway.InFlight())
	time.Sleep(s.settings.Drain.Announce - s.lastWork())
	// The upstream goes on running and cannot be reached while its node
	// restarts, so its work is refused as late as possible.
	s.gateway.CloseUpstream()
	s.peers.Drain()
	time.Sleep(s.lastWork())
	// The upstream needs the callers' listener for the calls of its requests in
	// progress.
	end := started.Add(s.settings.Drain.Grace - cutMargin)
	awaitZero(time.Now().Add(time.Until(end)/2), s.gateway.InFlight)
	s.callers.CloseListener()
	s.peers.CloseListener()
	awaitZero(end, func() int64 {
		return s.gateway.InFlight() + int64(s.callers.Serving()+s.peers.Serving())
	})
	var err error
	if s.gateway.InFlight() > 0 {
		err = ErrDrainIncomplete
	}
	s.peers.Close()
	s.callers.Close()
	_ = s.readiness.Close()
	_ = s.metrics.Close()
	s.gateway.Close()
	return err
}

// lastWork is the time before the end of the announcement in which the local
// upstream finishes its work.
func (s *Server) lastWork() time.Duration { return s.settings.Drain.Announce / 4 }

// awaitZero waits until nothing is in progress or the deadline has passed.
func awaitZero(deadline time.Time, inProgress func() int64) {
	for inProgress() > 0 && time.Now().Before(deadline) {
		time.Sleep(idleCheck)
	}
}
