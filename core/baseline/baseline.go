// Package baseline holds plain admission and pressure policies that the
// product's own are measured against.
package baseline

import (
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/verdict"
)

// Options select what a FIFO admitter does besides queueing.
type Options struct {
	// MaxQueue is the longest queue; zero is unbounded.
	MaxQueue int
	// CheckDeadline refuses a call at the head of the queue whose deadline has
	// passed.
	CheckDeadline bool
}

// fifo runs calls in the order of arrival up to the configured slots.
type fifo struct {
	options Options
	slots   int
	queue   []*call.Request // nil where a call was cancelled
	head    int
	waiting map[call.ID]int // index in queue
	running map[call.ID]struct{}
}

// FIFO returns a Builder of admitters with a fixed limit and one queue in the
// order of arrival, without regard to importance or customer.
func FIFO(options Options) admit.Builder {
	return func(service *policy.Service, _ map[string]*policy.Caller) admit.Controller {
		return &fifo{
			options: options,
			slots:   max(service.Slots, 1),
			waiting: map[call.ID]int{},
			running: map[call.ID]struct{}{},
		}
	}
}

// Offer implements admit.Admitter.
func (f *fifo) Offer(now time.Time, req *call.Request) []admit.Decision {
	if f.options.MaxQueue > 0 && len(f.waiting) >= f.options.MaxQueue {
		return []admit.Decision{{ID: req.ID, Reason: verdict.QueueFull}}
	}
	f.waiting[req.ID] = len(f.queue)
	f.queue = append(f.queue, req)
	return f.dispatch(now)
}

// Done implements admit.Admitter.
func (f *fifo) Done(now time.Time, id call.ID, _ admit.Outcome) []admit.Decision {
	delete(f.running, id)
	return f.dispatch(now)
}

// Cancel implements admit.Admitter.
func (f *fifo) Cancel(_ time.Time, id call.ID) []admit.Decision {
	if at, ok := f.waiting[id]; ok {
		f.queue[at] = nil
		delete(f.waiting, id)
	}
	return nil
}

// Tick implements admit.Admitter.
func (f *fifo) Tick(time.Time) []admit.Decision { return nil }

// RejectQueued implements admit.Admitter.
func (f *fifo) RejectQueued(_ time.Time, reason verdict.Reason) []admit.Decision {
	var out []admit.Decision
	for req := f.next(); req != nil; req = f.next() {
		out = append(out, admit.Decision{ID: req.ID, Reason: reason})
	}
	return out
}

// Threshold implements admit.Admitter; every rank is admitted.
func (f *fifo) Threshold(time.Time, string) call.Rank { return 0 }

// Load implements admit.Admitter.
func (f *fifo) Load(time.Time) admit.Load {
	return admit.Load{Running: len(f.running), Queued: len(f.waiting), Limit: f.slots, Slots: f.slots}
}

// SetPolicy implements admit.Admitter.
func (f *fifo) SetPolicy(_ time.Time, service *policy.Service, _ map[string]*policy.Caller) {
	f.slots = max(service.Slots, 1)
}

func (f *fifo) dispatch(now time.Time) []admit.Decision {
	var out []admit.Decision
	for len(f.running) < f.slots {
		req := f.next()
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

// next takes the first waiting call, or returns nil.
func (f *fifo) next() *call.Request {
	for f.head < len(f.queue) {
		req := f.queue[f.head]
		f.queue[f.head] = nil
		f.head++
		if req != nil {
			delete(f.waiting, req.ID)
			return req
		}
	}
	f.queue = f.queue[:0]
	f.head = 0
	return nil
}

// open is a pressure table without knowledge.
type open struct{}

// AdmitAll is a pressure.Builder of tables that admit every call.
func AdmitAll(func(n int) int) pressure.Table { return open{} }

func (open) Observe(time.Time, pressure.Class, call.Rank) {}

func (open) Admit(time.Time, pressure.Class, call.Rank) (bool, time.Duration) { return true, 0 }

func (open) Threshold(time.Time, pressure.Class) call.Rank { return 0 }

func (open) Reset() {}
