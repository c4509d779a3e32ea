package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"toucangw.example/core/engine"
)

const (
	// minDrainTime is the shortest time between the announcement that the host is
	// leaving and the close of the listeners. Until then, peers and callers that
	// have not received the announcement get a refusal instead of a broken
	// connection.
	minDrainTime = time.Second

	// idleCheckInterval is the time between checks whether calls are still in
	// flight during a drain.
	idleCheckInterval = 20 * time.Millisecond

	// closeTimeout bounds the shutdown of servers whose calls have all ended. It
	// is above the 5 s that net/http waits for the first request of a new
	// connection.
	closeTimeout = 7 * time.Second
)

// Run serves until drain is closed and the calls in flight have ended, and then
// returns nil. If ctx ends first or the drain timeout passes, it returns
// ErrDrainIncomplete. Run may be called once.
func (n *Node) Run(ctx context.Context, drain <-chan struct{}) error {
	defer n.logs.Close()
	background, stop := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	var servers, loops sync.WaitGroup
	n.startLoops(background, &loops)
	n.startServers(background, &servers, failed)
	n.logs.Logger.Info("started", "host", n.settings.Host.ID, "incarnation", n.incarnation,
		"callers", n.listeners.callers.Addr().String(), "peers", n.listeners.peers.Addr().String())

	err := n.wait(ctx, drain, failed)
	stopErr := n.stopServers(err != nil)
	stop()
	n.links.Close()
	loops.Wait()
	servers.Wait()
	if n.upstream != nil {
		n.upstream.Close()
	}
	n.driver.Close()
	n.observer.Close()
	err = errors.Join(err, stopErr)
	if err != nil {
		n.logs.Logger.Error("stopped", "error", err.Error())
	} else {
		n.logs.Logger.Info("stopped")
	}
	return err
}

func (n *Node) startLoops(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { n.tickLoop(ctx) })
	wg.Go(func() {
		if err := n.source.Run(ctx); err != nil && ctx.Err() == nil {
			n.logs.Logger.Error("configuration source failed", "error", err.Error())
		}
	})
	if n.upstream != nil {
		wg.Go(func() {
			n.upstream.ProbeLoop(ctx, n.healthPath, func(h engine.HealthProbed) { n.driver.Step(h) })
		})
	}
}

func (n *Node) startServers(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	ignoreServerClosed := func(run func() error) func() error {
		return func() error {
			if err := run(); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}
	}
	l := n.listeners
	serve(ctx, wg, "caller listener", ignoreServerClosed(func() error { return n.callers.Serve(l.callers) }), failed)
	serve(ctx, wg, "egress listener", ignoreServerClosed(func() error { return n.egress.Serve(l.egress) }), failed)
	serve(ctx, wg, "operator listener", ignoreServerClosed(func() error { return n.operator.Serve(l.operator) }), failed)
	serve(ctx, wg, "peer listener", func() error { return n.peers.Serve(l.peers) }, failed)
}

// wait returns when the node must stop. The error is nil if a drain has completed
// all calls in flight.
func (n *Node) wait(ctx context.Context, drain <-chan struct{}, failed <-chan error) error {
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ErrDrainIncomplete
	case <-drain:
	}
	return n.drain(ctx, failed)
}

// drain rejects new work, announces that the host is leaving and waits for the calls
// in flight.
func (n *Node) drain(ctx context.Context, failed <-chan error) error {
	started := time.Now()
	n.driver.Step(engine.DrainStarted{})
	n.announceLeaving()
	timeout := time.NewTimer(n.settings.Limits.DrainTimeout)
	defer timeout.Stop()
	check := time.NewTicker(idleCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-check.C:
			if time.Since(started) >= minDrainTime && n.driver.Idle() {
				return nil
			}
		case err := <-failed:
			return err
		case <-timeout.C:
			return ErrDrainIncomplete
		case <-ctx.Done():
			return ErrDrainIncomplete
		}
	}
}

// stopServers closes the listeners and then the servers, with the operators' API
// last. If calls may still be in flight, it closes their connections.
func (n *Node) stopServers(incomplete bool) error {
	if incomplete {
		n.peers.Stop(0)
		return errors.Join(n.callers.Close(), n.egress.Close(), n.operator.Close())
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := n.callers.Shutdown(ctx)
	n.peers.Stop(closeTimeout)
	return errors.Join(err, n.egress.Shutdown(ctx), n.operator.Shutdown(ctx))
}
