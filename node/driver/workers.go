package driver

import (
	"sync"
	"time"
)

// workerIdleTimeout is how long an idle goroutine is kept.
const workerIdleTimeout = 10 * time.Second

// workers is a pool of goroutines. gRPC and HTTP calls need deep stacks, and
// growing a new stack for each call costs more than the rest of the hand-over to
// another goroutine.
type workers struct {
	jobs chan func()
	once sync.Once
	quit chan struct{}
}

func newWorkers() *workers {
	return &workers{jobs: make(chan func()), quit: make(chan struct{})}
}

// close ends the idle goroutines.
func (w *workers) close() { w.once.Do(func() { close(w.quit) }) }

// run starts f and returns at once. If no goroutine is idle it starts a new one.
func (w *workers) run(f func()) {
	select {
	case w.jobs <- f:
	default:
		go w.loop(f)
	}
}

func (w *workers) loop(f func()) {
	timer := time.NewTimer(workerIdleTimeout)
	defer timer.Stop()
	for {
		f()
		timer.Reset(workerIdleTimeout)
		select {
		case f = <-w.jobs:
		case <-timer.C:
			return
		case <-w.quit:
			return
		}
	}
}
