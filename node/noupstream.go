package node

import (
	"context"

	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
)

// noUpstream is the upstream of a node without a local upstream.
type noUpstream struct{}

// Run implements driver.Upstream.
func (noUpstream) Run(context.Context, driver.Run) engine.Event {
	return engine.UpstreamFailed{
		Verdict: verdict.NotRun,
		Reason:  verdict.NoUpstream,
		Detail:  "this node guards no upstream",
	}
}
