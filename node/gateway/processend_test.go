package gateway

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/advisory"
)

func runSince(startedAt time.Time) *localRun {
	return &localRun{forward: &forward{}, instance: advisory.Instance{ID: "a"}, startedAt: startedAt}
}

// Guards against one end of a process being counted once for each request that was running there.
func TestRequestsLostTogetherShareOneEnd(t *testing.T) {
	var d endDetector
	var checks, firsts atomic.Int32
	ends := make([]*processEnd, 20)
	var lost sync.WaitGroup
	for i := range ends {
		lost.Go(func() {
			end, first := d.find(runSince(time.Now().Add(-time.Second)), func() bool {
				checks.Add(1)
				time.Sleep(5 * time.Millisecond)
				return true
			})
			ends[i] = end
			if first {
				firsts.Add(1)
			}
		})
	}
	lost.Wait()
	assert.EqualValues(t, 1, firsts.Load())
	assert.EqualValues(t, 1, checks.Load())
	for _, end := range ends {
		assert.Same(t, ends[0], end)
	}
	end, _ := d.find(runSince(time.Now()), func() bool { return false })
	assert.Nil(t, end, "a run at the next process under the same ID")
}

// Guards against a crash that goes unnoticed because a check which began before it found the process alive.
func TestCheckThatBeganBeforeTheLossIsRepeated(t *testing.T) {
	var d endDetector
	began, release := make(chan struct{}), make(chan struct{})
	go d.find(runSince(time.Now()), func() bool {
		close(began)
		<-release
		return false
	})
	<-began
	time.AfterFunc(5*time.Millisecond, func() { close(release) })
	end, first := d.find(runSince(time.Now()), func() bool { return true })
	assert.NotNil(t, end)
	assert.True(t, first)
}
