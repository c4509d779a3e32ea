package driver

import (
	"sync"
	"time"
)

// workerIdle is how long a goroutine without work is kept.
const workerIdle = 10 * time.Second

// workers runs functions on goroutines that are used again. The stacks of
// gRPC and HTTP calls are deep, and growing a new stack for each call costs
// more than the rest of the hand-over.
type workers struct {
	jobs chan func()
	once sync.Once
	quit chan struct{}
}

func newWorkers() *workers {
	return &workers{jobs: make(chan func()), quit: make(chan struct{})}
}

// close ends the goroutines without work.
func (w *workers) close() { w.once.Do(func() { close(w.quit) }) }

// run starts f without waiting for it. It never waits for a free goroutine.
func (w *workers) run(f func()) {
	select {
	case w.jobs <- f:
	default:
		go w.loop(f)
	}
}

func (w *workers) loop(f func()) {
	timer := time.NewTimer(workerIdle)
	defer timer.Stop()
	for {
		f()
		timer.Reset(workerIdle)
		select {
		case f = <-w.jobs:
		case <-timer.C:
			return
		case <-w.quit:
			return
		}
	}
}
