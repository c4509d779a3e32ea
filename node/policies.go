package node

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/member"
	"toucangw.example/core/once"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// DefaultPolicies returns the decision packages of the product.
func DefaultPolicies() Policies {
	return Policies{
		Admit:    admit.New,
		Route:    route.New,
		Budget:   retry.NewBudget,
		Pressure: pressure.New,
		Keys:     newKeys,
	}
}

// newKeys makes the key table with a secret of this process. Its bounds are
// fixed when the process starts, before a configuration is known.
func newKeys(host member.HostID, incarnation uint64) (once.Ledger, error) {
	secret := make([]byte, once.SecretLen)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("make secret: %w", err)
	}
	return once.New(once.Config{
		Host:           host,
		Incarnation:    incarnation,
		Start:          time.Now(),
		Secret:         secret,
		Nonce:          nonce,
		Lifetime:       policy.DefaultKeyLifetime,
		MaxKeys:        policy.DefaultMaxKeys,
		MaxAnswerBytes: policy.DefaultMaxKeyBytes,
	})
}

func nonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
