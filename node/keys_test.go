package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/policy"
)

// Guards against metrics that report the default limits of the keys, or those of a
// later configuration, instead of the limits in use.
func TestKeyLimitsInUse(t *testing.T) {
	keys := newKeys("h", 1).(limitSetter)
	require.Zero(t, keys.Limits().MaxKeys)
	first := policy.Limits{KeyLifetime: time.Minute, MaxKeys: 7, MaxKeyBytes: 1 << 20}
	require.NoError(t, keys.SetLimits(first))
	require.NoError(t, keys.SetLimits(policy.Limits{KeyLifetime: time.Minute, MaxKeys: 9, MaxKeyBytes: 2 << 20}))
	require.Equal(t, first, keys.Limits())
}
