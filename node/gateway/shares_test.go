package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/admissionprob"
	"toucangw.example/core/calltree"
	"toucangw.example/core/routetable"
	"toucangw.example/node/http1"
)

// Guards the cost of a reply under overload: shares are told to each node once
// in a while.
func TestSharesAreToldOnceInAWhile(t *testing.T) {
	var s statements
	now := time.Now()
	assert.True(t, s.due(now, "a"))
	assert.False(t, s.due(now.Add(statementPause/2), "a"))
	assert.True(t, s.due(now.Add(statementPause/2), "b"))
	assert.True(t, s.due(now.Add(statementPause), "a"))
}

// Guards against a reply without shares being taken for the end of a
// restriction, when they were only left out.
func TestSharesThatWereLeftOutStillHold(t *testing.T) {
	g := New(Config{Zone: "a", Service: "front", Metrics: NewMetrics()})
	now := time.Now()
	restrict := func() {
		for i := range 50 {
			g.shares.Update(now.Add(time.Duration(i)*time.Millisecond), admissionprob.Received{Service: "deep", Route: "root", Probability: 0.3})
		}
	}
	restrict()
	q := &request{parent: &calltree.Parent{}, service: "deep", root: "root", route: &routetable.Route{}}
	answered := &reply{answer: http1.NewServerResponse(200, nil, nil)}
	answered.meta.Told = true
	before := g.shares.Probability(now, "root")
	for range 20 {
		g.learnCall(q, answered)
	}
	assert.InDelta(t, before, g.shares.Probability(now, "root"), 0.01)
	answered.meta.Told = false
	time.Sleep(60 * time.Millisecond)
	g.learnCall(q, answered)
	assert.Greater(t, g.shares.Probability(now, "root"), before+0.05)
}
