// Package baseline holds simple admission, pressure, limit, retry and routing
// policies that serve as a baseline for measuring those of the product.
package baseline

import (
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/verdict"
)

// Options select what a FIFO controller does besides queueing.
type Options struct {
	// MaxQueue is the greatest queue length; zero means unbounded.
	MaxQueue int
	// CheckDeadline rejects a call whose deadline has passed when it reaches
	// the head of the queue.
	CheckDeadline bool
}

// fifo runs calls in the order of arrival, up to the configured slots at once.
type fifo struct {
	options  Options
	slots    int
	queue    []*call.Request // nil where a call was cancelled
	head     int
	queuedAt map[call.ID]int // index in queue
	running  map[call.ID]struct{}
}

// FIFO returns a Builder of controllers with a fixed concurrency limit and one
// queue in the order of arrival, without regard to importance or caller.
func FIFO(options Options) admit.Builder {
	return func(service *policy.Service, _ map[string]*policy.Caller) admit.Controller {
		return &fifo{
			options:  options,
			slots:    max(service.Slots, 1),
			queuedAt: map[call.ID]int{},
			running:  map[call.ID]struct{}{},
		}
	}
}

// Offer implements admit.Controller.
func (f *fifo) Offer(now time.Time, req *call.Request) []admit.Decision {
	if f.options.MaxQueue > 0 && len(f.queuedAt) >= f.options.MaxQueue {
		return []admit.Decision{{ID: req.ID, Reason: verdict.QueueFull}}
	}
	f.queuedAt[req.ID] = len(f.queue)
	f.queue = append(f.queue, req)
	return f.dispatch(now)
}

// Done implements admit.Controller.
func (f *fifo) Done(now time.Time, id call.ID, _ admit.Outcome) []admit.Decision {
	delete(f.running, id)
	return f.dispatch(now)
}

// Cancel implements admit.Controller.
func (f *fifo) Cancel(_ time.Time, id call.ID) []admit.Decision {
	if index, ok := f.queuedAt[id]; ok {
		f.queue[index] = nil
		delete(f.queuedAt, id)
	}
	return nil
}

// Tick implements admit.Controller.
func (f *fifo) Tick(time.Time) []admit.Decision { return nil }

// RejectQueued implements admit.Controller.
func (f *fifo) RejectQueued(_ time.Time, reason verdict.Reason) []admit.Decision {
	var out []admit.Decision
	for req := f.dequeue(); req != nil; req = f.dequeue() {
		out = append(out, admit.Decision{ID: req.ID, Reason: reason})
	}
	return out
}

// Threshold implements admit.Controller; every rank is admitted.
func (f *fifo) Threshold(time.Time, string) call.Rank { return 0 }

// Load implements admit.Controller.
func (f *fifo) Load(time.Time) admit.Load {
	return admit.Load{Running: len(f.running), Queued: len(f.queuedAt), Limit: f.slots, Slots: f.slots}
}

// SetPolicy implements admit.Controller.
func (f *fifo) SetPolicy(_ time.Time, service *policy.Service, _ map[string]*policy.Caller) {
	f.slots = max(service.Slots, 1)
}

// dispatch starts waiting calls while slots are free.
func (f *fifo) dispatch(now time.Time) []admit.Decision {
	var out []admit.Decision
	for len(f.running) < f.slots {
		req := f.dequeue()
		if req == nil {
			return out
		}
		if f.options.CheckDeadline && !now.Before(req.Deadline) {
			out = append(out, admit.Decision{ID: req.ID, Reason: verdict.DeadlineUnmet})
			continue
		}
		f.running[req.ID] = struct{}{}
		out = append(out, admit.Decision{ID: req.ID, Run: true})
	}
	return out
}

// dequeue removes and returns the first waiting call, or returns nil.
func (f *fifo) dequeue() *call.Request {
	for f.head < len(f.queue) {
		req := f.queue[f.head]
		f.queue[f.head] = nil
		f.head++
		if req != nil {
			delete(f.queuedAt, req.ID)
			return req
		}
	}
	f.queue = f.queue[:0]
	f.head = 0
	return nil
}

// admitAll is a pressure table that ignores all reports.
type admitAll struct{}

// AdmitAll is a pressure.Builder of tables that admit every call.
func AdmitAll(func(n int) int) pressure.Table { return admitAll{} }

func (admitAll) Observe(time.Time, pressure.Class, call.Rank) {}

func (admitAll) Admit(time.Time, pressure.Class, call.Rank) (bool, time.Duration) { return true, 0 }

func (admitAll) Threshold(time.Time, pressure.Class) call.Rank { return 0 }

func (admitAll) Reset() {}
