package telemetry

import "time"

// signal puts a value into a channel of capacity one unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitBatch waits, without periodic wake-ups, for a value in wake and then for
// interval, so that more work can be collected, or until full receives a value.
// It reports whether stop was closed.
func awaitBatch(stop, wake, full <-chan struct{}, interval time.Duration) (stopped bool) {
	select {
	case <-stop:
		return true
	case <-wake:
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-stop:
		return true
	case <-full:
	case <-timer.C:
	}
	return false
}
