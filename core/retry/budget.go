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
	// BudgetHalfLife bounds the retries saved up before an overload: at a
	// steady rate the balance is that of about three seconds.
	BudgetHalfLife = 2 * time.Second
	// BudgetFloor is the number of retries per second that a service without
	// successes still gets, so that a service called rarely can be retried.
	BudgetFloor = 1.0
	// BudgetFloorMax is the most retries that the floor saves up.
	BudgetFloorMax = 3.0
)

type account struct {
	at     time.Time
	earned float64
	floor  float64
}

// advance ages the earned retries and refills the floor. Time that goes back
// changes nothing.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	a.earned *= math.Exp2(-float64(elapsed) / float64(BudgetHalfLife))
	a.floor = min(a.floor+BudgetFloor*elapsed.Seconds(), BudgetFloorMax)
}

func (a *account) spend() bool {
	switch {
	case a.earned >= 1:
		a.earned--
	case a.floor >= 1:
		a.floor--
	default:
		return false
	}
	return true
}

type budget struct {
	accounts map[string]*account
}

// NewBudget is a Builder. The budget allows retries up to a share of the
// recent successes of the service, and only where another attempt can help.
// The credit of the request is to be checked first, since Allow spends.
func NewBudget() Budget { return &budget{accounts: map[string]*account{}} }

func (b *budget) account(now time.Time, service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{at: now, floor: BudgetFloorMax}
		b.accounts[service] = a
	}
	a.advance(now)
	return a
}

// Success implements Budget.
func (b *budget) Success(now time.Time, service string) {
	b.account(now, service).earned += BudgetShare
}

// Allow implements Budget.
func (b *budget) Allow(now time.Time, service string, f Failure) bool {
	return f.worthRetry() && b.account(now, service).spend()
}

// worthRetry reports whether another attempt is harmless and can help.
func (f Failure) worthRetry() bool {
	if f.Verdict != verdict.NotRun && !f.Idempotent {
		return false
	}
	switch f.Reason {
	case verdict.QueueFull, verdict.DeadlineUnmet, verdict.Pressure, verdict.UpstreamShed:
		return f.RoomElsewhere
	case verdict.ConnectionLost, verdict.OwnerUnreachable, verdict.UpstreamFailed, verdict.Truncated,
		verdict.Leaving, verdict.Starting, verdict.Paused,
		verdict.NotMember, verdict.WrongService:
		return true
	default:
		// The deadline has passed, the caller is gone, or every host would
		// refuse the request alike.
		return false
	}
}
