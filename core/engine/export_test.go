package engine

// Records counts what the engine remembers of calls, for tests.
func Records(e *Engine) int {
	return len(e.entries) + len(e.guards) + len(e.byToken) + len(e.byKey) + len(e.joinedTo)
}
