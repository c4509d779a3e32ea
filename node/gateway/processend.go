package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

// endCheckTimeout bounds the check whether the local upstream's process has ended.
const endCheckTimeout = 300 * time.Millisecond

// processEnd is the end of a process of the local upstream that was not planned.
type processEnd struct {
	instance advisory.Instance
	at       time.Time // when it was noticed
}

// covers reports whether a run was at the process that has ended.
func (e *processEnd) covers(i advisory.Instance, startedAt time.Time) bool {
	return e.instance.ID == i.ID && startedAt.Before(e.at)
}

// endDetector finds out whether the process of the local upstream has ended when
// connections to it are lost. The requests that lose theirs together share one check.
// It is safe for concurrent use.
type endDetector struct {
	mu      sync.Mutex
	last    *processEnd
	pending *endCheck
	// unanswered holds runs that ended without an answer, whose process may have ended
	// all the same, oldest first.
	unanswered []unansweredRun
}

// unansweredRun is a run that was given up, or that lost its connection to a process
// which then still accepted connections.
type unansweredRun struct {
	suspect  suspect
	left     bool // its sender gave it up before its deadline
	survived bool // the process has answered a request that was sent after the end
	endedAt  time.Time
}

const (
	// givenUpTime is how long after a run without an answer an end of the process is
	// held against it: the upstream may have gone on running it.
	givenUpTime = time.Second
	// restartTime is how long after a run without an answer another incarnation shows
	// that the process had ended.
	restartTime = 10 * time.Second
	// maxUnanswered bounds the runs that are kept.
	maxUnanswered = 256
)

// remember keeps a run that ended without an answer.
func (d *endDetector) remember(s suspect, left bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unanswered) >= maxUnanswered {
		d.unanswered = slices.Delete(d.unanswered, 0, maxUnanswered/2)
	}
	d.unanswered = append(d.unanswered, unansweredRun{suspect: s, left: left, endedAt: time.Now()})
}

// onAnswer notes that the process has survived what ended before the start of a run
// that was answered.
func (d *endDetector) onAnswer(run *localRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.unanswered {
		u := &d.unanswered[i]
		u.survived = u.survived || u.suspect.instance.ID == run.instance.ID && u.endedAt.Before(run.startedAt)
	}
}

// givenUp removes and returns the runs that ended without an answer shortly before an
// end.
func (d *endDetector) givenUp(end *processEnd) []suspect {
	return d.take(func(u unansweredRun) bool {
		return end.covers(u.suspect.instance, u.suspect.startedAt) && end.at.Sub(u.endedAt) < givenUpTime
	})
}

// replaced removes and returns the runs that ended without an answer shortly before
// another incarnation than theirs was found at the address, if theirs has answered
// nothing since.
func (d *endDetector) replaced(by advisory.Instance) []suspect {
	now := time.Now()
	return d.take(func(u unansweredRun) bool {
		return !u.left && !u.survived && precedes(u.suspect.instance, by) && now.Sub(u.endedAt) < restartTime
	})
}

// precedes reports whether an incarnation at an address ended before another one
// started there. The start of an incarnation may be unknown.
func precedes(i, next advisory.Instance) bool {
	if i.ID != next.ID {
		return true
	}
	return i.StartedAt > 0 && i.StartedAt < next.StartedAt
}

func (d *endDetector) take(match func(unansweredRun) bool) []suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []suspect
	d.unanswered = slices.DeleteFunc(d.unanswered, func(u unansweredRun) bool {
		if match(u) {
			out = append(out, u.suspect)
			return true
		}
		return false
	})
	return out
}

// endCheck is one check of the process.
type endCheck struct {
	startedAt time.Time
	done      chan struct{} // closed at the end of the check
}

// find returns the end of the process at which a run has just lost its connection, or
// nil if the process lives. First is set for the run that noticed the end.
func (d *endDetector) find(run *localRun, refused func() bool) (end *processEnd, first bool) {
	lostAt := time.Now()
	for {
		d.mu.Lock()
		if d.last != nil && d.last.covers(run.instance, run.startedAt) {
			defer d.mu.Unlock()
			return d.last, first
		}
		check := d.pending
		own := check == nil
		if own {
			check = &endCheck{startedAt: time.Now(), done: make(chan struct{})}
			d.pending = check
		}
		d.mu.Unlock()
		if own {
			first = d.finish(check, run, refused())
		} else {
			<-check.done
		}
		// A check that began before the loss may have found the process alive.
		if !first && !check.startedAt.Before(lostAt) {
			return d.lastCovering(run), false
		}
	}
}

func (d *endDetector) finish(check *endCheck, run *localRun, ended bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ended {
		d.last = &processEnd{instance: run.instance, at: time.Now()}
	}
	d.pending = nil
	close(check.done)
	return ended
}

func (d *endDetector) lastCovering(run *localRun) *processEnd {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil || !d.last.covers(run.instance, run.startedAt) {
		return nil
	}
	return d.last
}

// upstreamEnd returns the end of the local upstream's process if a run has lost its
// connection by it, and nil if the process lives or its end was planned.
func (g *Gateway) upstreamEnd(run *localRun, err error) *processEnd {
	if !http1.ConnectionLost(err) || g.leaves(run.instance) {
		return nil
	}
	end, first := g.processEnds.find(run, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		return g.upstreamPool.Refused(ctx, g.cfg.Upstream.String())
	})
	if first {
		g.logUpstreamEnd(end.instance, "connection lost, then refused", g.load().Running+1)
		for _, other := range g.processEnds.givenUp(end) {
			g.blame(other, end)
		}
	}
	return end
}

func (g *Gateway) logUpstreamEnd(i advisory.Instance, evidence string, running int) {
	g.cfg.Metrics.upstreamEnds.Inc()
	g.cfg.Logger.Warn("upstream process ended", "upstream", i.ID, "started_at_ms", i.StartedAt,
		"service", g.cfg.Service, "evidence", evidence, "running", running)
}

// leaves reports whether an incarnation of the local upstream has told that it leaves.
func (g *Gateway) leaves(i advisory.Instance) bool {
	if g.upstreamClosed.Load() || g.announced.current(i).Leaving {
		return true
	}
	local := g.localUpstream.Load()
	return local != nil && local.Left(i.ID, time.UnixMilli(i.StartedAt))
}

// onRunLost is called when a run has ended without a complete answer. If the process of
// the upstream has ended, the reply says so.
func (g *Gateway) onRunLost(run *localRun, r *reply, err error) {
	end := g.upstreamEnd(run, err)
	switch {
	case end != nil:
		r.meta.Crashes = g.blame(run.suspect(g.cfg.Service), end)
		r.meta.Reason = verdict.UpstreamCrashed
		r.meta.Detail = fmt.Sprintf("upstream process ended; crashes under request %s: %d", run.forward.fingerprint().Short(), r.meta.Crashes)
	case http1.ConnectionLost(err) || errors.Is(err, context.DeadlineExceeded):
		g.processEnds.remember(run.suspect(g.cfg.Service), false)
	case errors.Is(err, context.Canceled):
		g.processEnds.remember(run.suspect(g.cfg.Service), true)
	}
}

// onNextIncarnation blames the requests that an incarnation has left without an answer
// which was replaced without a leave, while no connection was refused: it was replaced
// very fast, or fell silent.
func (g *Gateway) onNextIncarnation(next advisory.Instance) {
	suspects := g.processEnds.replaced(next)
	if len(suspects) == 0 {
		return
	}
	end := &processEnd{instance: suspects[0].instance, at: time.Now()}
	g.logUpstreamEnd(end.instance, "no answer, then replaced by "+next.ID, len(suspects))
	for _, s := range suspects {
		g.blame(s, end)
	}
}
