package gateway

import (
	"context"
	"io"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/calltree"
	"toucangw.example/core/concurrency"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

// localRun is a request that was sent to the local upstream.
type localRun struct {
	forward   *forward
	instance  advisory.Instance
	startedAt time.Time
	// end frees the slot. Service is the time at the upstream, zero without an answer.
	end func(service time.Duration)
}

// run sends a request to the local upstream and frees its slot at the end.
func (g *Gateway) run(ctx context.Context, f *forward, req *concurrency.Request) *reply {
	started := time.Now()
	left := f.deadline.Sub(started)
	if left < minTimeLeft {
		g.release(req, 0)
		return failed(verdict.NotRun, verdict.DeadlineUnmet, "no time left")
	}
	run := g.startRun(started, f, req)
	ctx, cancel := context.WithDeadline(ctx, f.deadline.Add(upstreamGrace))
	response, err := g.upstreamPool.Do(ctx, g.cfg.Upstream.String(), g.upstreamRequest(f, left))
	if err != nil {
		defer cancel()
		run.end(0)
		r := classifyUpstreamError(ctx, err)
		g.onRunLost(run, r, err)
		return r
	}
	r := g.readAnswer(run.instance, response)
	r.meta.WaitedUS = req.Waited(started).Microseconds()
	r.meta.ReachedUpstream = true
	r.meta.ServiceUS = time.Since(started).Microseconds()
	if r.answer != nil && r.answer.Stream != nil {
		g.streamAnswer(run, r, response, cancel)
		return r
	}
	cancel()
	service := serviceTime(r, started)
	g.cfg.Metrics.upstreamTime.Observe(service.Seconds())
	run.end(service)
	if r.answer == nil {
		g.onRunLost(run, r, r.lost)
	} else {
		g.onRunAnswered(run, r.answer.Status)
	}
	return r
}

// startRun records that a request is sent to the local upstream.
func (g *Gateway) startRun(now time.Time, f *forward, req *concurrency.Request) *localRun {
	parent := &calltree.Parent{
		ID: f.requestID, Deadline: f.deadline, Priority: f.meta.Priority, RootRoute: f.meta.RootRoute, Route: f.meta.Route,
		Retry: f.meta.Retry, AdmissionProbability: f.meta.AdmissionProbability,
	}
	g.callTree.Add(now, parent)
	g.cfg.Metrics.upstreamSent.Inc()
	g.limitedTraffic.onRequest(now, f.meta.Sender, g.announced.current(f.instance()).Limit)
	return &localRun{
		forward: f, startedAt: now,
		instance: g.presentInstance(f), // that of the send: the upstream may restart meanwhile
		end: func(service time.Duration) {
			g.callTree.Remove(parent)
			g.release(req, service)
			g.localDurations.Observe(time.Now(), f.meta.Route, time.Since(now))
			g.demand.OnComplete(f.meta.RootRoute, time.Since(now))
		},
	}
}

// streamAnswer ends a run once its answer, which is streamed, has been delivered.
func (g *Gateway) streamAnswer(run *localRun, r *reply, response *http1.ClientResponse, cancel context.CancelFunc) {
	stream := &watchedReader{r: r.answer.Stream}
	r.answer.Stream = stream
	r.finish = func(complete bool) {
		if !complete {
			response.Close()
			cancel()
			run.end(0)
			g.onRunLost(run, r, stream.err)
			return
		}
		response.Finish()
		cancel()
		run.end(0)
		g.onRunAnswered(run, r.answer.Status)
	}
}

// watchedReader keeps the error of a reader.
type watchedReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if err != nil && err != io.EOF {
		w.err = err
	}
	return n, err
}
