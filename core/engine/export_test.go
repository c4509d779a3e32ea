package engine

// Records returns the number of entries that the engine keeps for calls.
func Records(e *Engine) int {
	return len(e.entries) + len(e.localCalls) + len(e.byToken) + len(e.byKey) + len(e.duplicateOf)
}
