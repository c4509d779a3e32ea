package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"toucangw.example/core/drain"
	"toucangw.example/node/http1"
	"toucangw.example/settings"
)

// ErrDrainIncomplete is returned if requests were still in flight at the end of
// the grace period.
var ErrDrainIncomplete = errors.New("stopped with requests in flight")

const (
	// closeMargin is the part of the grace period that is reserved for closing
	// listeners and connections after the last request. A process that is short
	// of processor time needs some hundred milliseconds for that.
	closeMargin = 500 * time.Millisecond
	// peerIdleTimeout is longer than peerIdle, so that an idle connection is
	// closed by the node that opened it.
	peerIdleTimeout = 2 * peerIdle
	peerMaxHeader   = 16<<10 + 512
	// closeListenerTime is the part of the drain that is left for the connections
	// which are still waiting when the listeners close.
	closeListenerTime = 200 * time.Millisecond
	inFlightPoll      = 20 * time.Millisecond
	// operatorWriteTimeout closes a connection whose client does not read the
	// metrics.
	operatorWriteTimeout = 10 * time.Second
)

// Server runs the listeners of a gateway.
type Server struct {
	gateway   *Gateway
	settings  *settings.Gateway
	logger    *slog.Logger
	clients   *http1.Server
	peers     *http1.Server
	readiness *http.Server
	metrics   *http.Server
	listeners []net.Listener
	failed    chan error
}

// NewServer opens the listeners. The paths are those of the readiness check and
// the metrics.
func NewServer(g *Gateway, s *settings.Gateway, logger *slog.Logger, readinessPath, metricsPath string) (*Server, error) {
	srv := &Server{
		gateway: g, settings: s, logger: logger, failed: make(chan error, 4),
		clients: http1.NewServer(http1.ServerConfig{Handler: g.ServeClient, Limits: g.Limits, OnPanic: g.OnPanic}),
		peers: http1.NewServer(http1.ServerConfig{Handler: g.ServePeer, OnPanic: g.OnPanic, Limits: func() http1.Limits {
			return http1.Limits{MaxHeader: peerMaxHeader, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: peerIdleTimeout}
		}}),
		readiness: operatorServer(pathHandler(readinessPath, g.serveReadiness)),
		metrics:   operatorServer(g.operatorHandler(metricsPath)),
	}
	if err := srv.listen(); err != nil {
		for _, l := range srv.listeners {
			_ = l.Close()
		}
		return nil, err
	}
	return srv, nil
}

// operatorServer returns a server for short requests without a body.
func operatorServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, ReadTimeout: defaultHeaderTimeout,
		WriteTimeout: operatorWriteTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeader,
	}
}

func pathHandler(path string, h http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, h)
	return mux
}

// operatorHandler serves the metrics and the quarantine.
func (g *Gateway) operatorHandler(metricsPath string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, g.cfg.Metrics.Handler())
	mux.HandleFunc("GET "+QuarantinePath, g.serveQuarantine)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{fingerprint}", g.serveLift)
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
		enabled       bool
		serve         func(net.Listener) error
	}{
		{"callers", l.Callers.String(), true, s.clients.Serve},
		{"peers", l.Peers.String(), true, s.peers.Serve},
		{"readiness", l.Readiness.String(), true, s.readiness.Serve},
		{"metrics", l.Metrics.String(), l.Metrics.IsValid(), s.metrics.Serve},
	} {
		if !open.enabled {
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

// Run serves until stop is closed and then drains: readiness fails at once, new
// requests that end in time are served until clients have had time to notice, and
// requests in flight may finish within the grace period.
func (s *Server) Run(stop <-chan struct{}) error {
	select {
	case err := <-s.failed:
		return err
	case <-stop:
	}
	plan := s.stopPlan(time.Now())
	s.gateway.Drain(plan)
	s.clients.Drain()
	s.logger.Info("stopping", "in_flight", s.gateway.InFlight())
	time.Sleep(time.Until(plan.Announced) - s.upstreamDrainTime())
	// The upstream keeps running but is unreachable while its node restarts, so
	// its new requests are rejected as late as possible.
	s.gateway.CloseUpstream()
	s.peers.Drain()
	time.Sleep(time.Until(plan.Announced))
	awaitZero(plan.Announced.Add(plan.End.Sub(plan.Announced)/2), s.gateway.InFlight)
	// The upstream needs the client listener for the calls that its requests in
	// flight make.
	awaitZero(plan.End.Add(-closeListenerTime), s.gateway.UpstreamInFlight)
	s.clients.CloseListener()
	s.peers.CloseListener()
	awaitZero(plan.End, func() int64 {
		return s.gateway.InFlight() + int64(s.clients.Serving()+s.peers.Serving())
	})
	var err error
	if n := s.gateway.InFlight(); n > 0 {
		s.logger.Warn("requests cut at the end of the grace period", "in_flight", n)
		err = ErrDrainIncomplete
	}
	s.peers.Close()
	s.clients.Close()
	_ = s.readiness.Close()
	_ = s.metrics.Close()
	s.gateway.Close()
	return err
}

// stopPlan returns the course of a planned stop that begins now.
func (s *Server) stopPlan(now time.Time) drain.Plan {
	d := s.settings.Drain
	return drain.Plan{Announced: now.Add(d.Announce), End: now.Add(d.Grace - closeMargin)}
}

// upstreamDrainTime returns the length of the last part of the announcement
// period, in which the local upstream gets no new requests and finishes those in
// flight.
func (s *Server) upstreamDrainTime() time.Duration { return s.settings.Drain.Announce / 4 }

// awaitZero waits until inFlight returns zero or the deadline has passed.
func awaitZero(deadline time.Time, inFlight func() int64) {
	for inFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(inFlightPoll)
	}
}
