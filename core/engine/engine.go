// Package engine makes every decision of one node. It composes admission,
// routing, retries, pressure and once-only keys: events go in, actions come
// out. It does no I/O, reads no clock and starts no goroutine, so that the
// daemon and a test bench drive it alike.
package engine

import (
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/once"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// TickInterval is the time between Tick events.
const TickInterval = 50 * time.Millisecond

// Config describes a node and the implementations that its engine uses.
type Config struct {
	Host        member.HostID
	Incarnation uint64
	Zone        string
	Region      string
	Service     string // service of the guarded upstream; empty for none

	Random func(n int) int // number in [0, n), from a seeded source
	Token  func() string   // unguessable text, new at each call

	Admit    admit.Builder
	Route    route.Builder
	Budget   retry.Builder
	Pressure pressure.Builder
	Keys     once.Ledger
}

// Engine is not safe for concurrent use.
type Engine struct {
	cfg    Config
	policy *policy.Policy
}

// New returns an engine without configuration; it refuses all calls as not run
// until PolicyChanged.
func New(cfg Config) *Engine { return &Engine{cfg: cfg} }

// Step handles one event and returns the actions to carry out, in order.
func (e *Engine) Step(now time.Time, event Event) []Action {
	_ = now
	if changed, ok := event.(PolicyChanged); ok {
		e.policy = changed.Policy
	}
	return nil
}

// Idle reports whether no call is in flight, which ends a planned stop.
func (e *Engine) Idle() bool { return true }

// Stats is a snapshot of the engine for the operators' show command.
type Stats struct {
	Revision uint64
	Leaving  bool
	Calls    int // calls of callers and of the local upstream in flight
	Runs     int // calls on the guarded upstream, running or queued
	Keys     int
	KeyBytes int64
	Load     admit.Load
	Levels   map[string]call.Rank // admission level of the guard by caller
}
