package retry

import (
	"math"
	"time"

	"toucangw.example/core/verdict"
)

// Constants of the budget of NewBudget.
const (
	// BudgetShare is the number of retries that one success earns.
	BudgetShare = 0.1
	// BudgetHalfLife is the half-life of the earned retries. It bounds the
	// retries saved up before an overload: at a steady rate of successes, the
	// balance is what they earn in about three seconds.
	BudgetHalfLife = 2 * time.Second
	// BudgetFloor is the number of retries per second allowed to a service
	// without successes, so that a service called rarely can be retried.
	BudgetFloor = 1.0
	// BudgetFloorMax is the largest number of retries that the floor
	// accumulates.
	BudgetFloorMax = 3.0
)

// serviceBudget is the budget of one service.
type serviceBudget struct {
	updatedAt time.Time
	earned    float64 // retries earned by successes
	floor     float64 // retries granted by BudgetFloor
}

// advance decays the earned retries and refills the floor. It does nothing if
// now is not after the latest update.
func (s *serviceBudget) advance(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	s.updatedAt = now
	s.earned *= math.Exp2(-float64(elapsed) / float64(BudgetHalfLife))
	s.floor = min(s.floor+BudgetFloor*elapsed.Seconds(), BudgetFloorMax)
}

func (s *serviceBudget) spend() bool {
	switch {
	case s.earned >= 1:
		s.earned--
	case s.floor >= 1:
		s.floor--
	default:
		return false
	}
	return true
}

type budget struct {
	services map[string]*serviceBudget
}

// NewBudget is a Builder. The budget allows retries up to a share of the recent
// successes of the service, and only where a retry can help. Check the retry
// credit of the request first, since Allow spends budget.
func NewBudget() Budget { return &budget{services: map[string]*serviceBudget{}} }

// forService returns the budget of a service at a time.
func (b *budget) forService(now time.Time, service string) *serviceBudget {
	s, ok := b.services[service]
	if !ok {
		s = &serviceBudget{updatedAt: now, floor: BudgetFloorMax}
		b.services[service] = s
	}
	s.advance(now)
	return s
}

// Success implements Budget.
func (b *budget) Success(now time.Time, service string) {
	b.forService(now, service).earned += BudgetShare
}

// Allow implements Budget.
func (b *budget) Allow(now time.Time, service string, f Failure) bool {
	return f.retryable() && b.forService(now, service).spend()
}

// retryable reports whether a retry cannot run an action twice and can help.
func (f Failure) retryable() bool {
	if f.Verdict != verdict.NotRun && !f.Idempotent {
		return false
	}
	switch f.Reason {
	case verdict.QueueFull, verdict.DeadlineUnmet, verdict.Pressure, verdict.UpstreamShed:
		return f.RoomElsewhere
	case verdict.ConnectionLost, verdict.OwnerUnreachable, verdict.UpstreamFailed, verdict.IncompleteAnswer,
		verdict.Leaving, verdict.Starting, verdict.Paused,
		verdict.NotMember, verdict.WrongService:
		return true
	default:
		// The deadline has passed, the client has disconnected, or every host
		// would reject the request alike.
		return false
	}
}
