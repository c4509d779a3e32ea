package telemetry

import "time"

// signal leaves a value in a channel that holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// collect waits without waking up until there is something to do, and then for
// an interval in which more may come or until full receives a value. It reports
// whether stop was closed.
func collect(stop, wake, full <-chan struct{}, interval time.Duration) (stopped bool) {
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
