package node

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

// keyTable is a ledger that creates its table with the limits of the first
// configuration. They apply for the life of the process, since the lifetime of
// issued keys must not change. Like the table it is not safe for concurrent use.
type keyTable struct {
	host        member.HostID
	incarnation uint64
	limits      policy.Limits      // those of table
	table       idempotency.Ledger // nil before the first configuration
}

// newKeys returns a ledger that has no limits yet.
func newKeys(host member.HostID, incarnation uint64) idempotency.Ledger {
	return &keyTable{host: host, incarnation: incarnation}
}

// limitSetter is implemented by ledgers that take their limits from the first
// configuration.
type limitSetter interface {
	SetLimits(limits policy.Limits) error
	// Limits returns the limits in use; zero before the first configuration.
	Limits() policy.Limits
}

// Limits returns the limits of the table.
func (k *keyTable) Limits() policy.Limits { return k.limits }

// SetLimits creates the table. Later calls have no effect.
func (k *keyTable) SetLimits(limits policy.Limits) error {
	if k.table != nil {
		return nil
	}
	secret := make([]byte, idempotency.SecretLen)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("make secret: %w", err)
	}
	table, err := idempotency.New(idempotency.Config{
		Host:           k.host,
		Incarnation:    k.incarnation,
		Start:          time.Now(),
		Secret:         secret,
		Nonce:          nonce,
		Lifetime:       limits.KeyLifetime,
		MaxKeys:        limits.MaxKeys,
		MaxAnswerBytes: limits.MaxKeyBytes,
	})
	if err != nil {
		return fmt.Errorf("key table: %w", err)
	}
	k.table, k.limits = table, limits
	return nil
}

// nonce returns 64 random bits.
func nonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Issue implements idempotency.Ledger.
func (k *keyTable) Issue(now time.Time, service, caller string) (string, *verdict.Refusal) {
	if k.table == nil {
		return "", verdict.Refuse(verdict.Starting, "no configuration in force yet")
	}
	return k.table.Issue(now, service, caller)
}

// Submit implements idempotency.Ledger. Before the first configuration, every key
// is from an earlier process, which may have run its request.
func (k *keyTable) Submit(now time.Time, key string, req *call.Request) idempotency.Submission {
	if k.table == nil {
		return idempotency.Submission{Action: idempotency.Refuse, Refusal: &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.KeyUnknown,
			Detail:  "this process has issued no keys yet",
		}}
	}
	return k.table.Submit(now, key, req)
}

// MarkRunning implements idempotency.Ledger.
func (k *keyTable) MarkRunning(now time.Time, key string) bool {
	return k.table != nil && k.table.MarkRunning(now, key)
}

// Finish implements idempotency.Ledger.
func (k *keyTable) Finish(now time.Time, key string, answer *call.Answer) {
	if k.table != nil {
		k.table.Finish(now, key, answer)
	}
}

// MarkIndeterminate implements idempotency.Ledger.
func (k *keyTable) MarkIndeterminate(now time.Time, key string) {
	if k.table != nil {
		k.table.MarkIndeterminate(now, key)
	}
}

// Reject implements idempotency.Ledger.
func (k *keyTable) Reject(now time.Time, key string) {
	if k.table != nil {
		k.table.Reject(now, key)
	}
}

// Fence implements idempotency.Ledger.
func (k *keyTable) Fence(now time.Time, key string) idempotency.State {
	if k.table == nil {
		return idempotency.Indeterminate
	}
	return k.table.Fence(now, key)
}

// Query implements idempotency.Ledger.
func (k *keyTable) Query(now time.Time, key, caller string) (idempotency.State, *call.Answer) {
	if k.table == nil {
		return idempotency.Indeterminate, nil
	}
	return k.table.Query(now, key, caller)
}

// Tick implements idempotency.Ledger.
func (k *keyTable) Tick(now time.Time) {
	if k.table != nil {
		k.table.Tick(now)
	}
}

// Len implements idempotency.Ledger.
func (k *keyTable) Len() (int, int64) {
	if k.table == nil {
		return 0, 0
	}
	return k.table.Len()
}
