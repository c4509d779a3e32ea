package directory

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a restored store whose lower revisions count as old, and against a late read from before the restore that counts as new.
func TestPositionsOfALaterEraAreLater(t *testing.T) {
	lost, restored := Position{Era: 1, Revision: 40}, Position{Era: 2, Revision: 25}
	assert.True(t, lost.Before(restored))
	assert.False(t, restored.Before(lost))
	assert.Equal(t, restored, restored.Later(lost))
	assert.True(t, lost.Restored(restored))
	assert.False(t, restored.Restored(lost))
	unknown := Position{Revision: 30}
	assert.True(t, unknown.Before(lost), "without an era, revisions decide")
	assert.True(t, restored.Before(unknown))
	assert.False(t, unknown.Restored(restored))
}
