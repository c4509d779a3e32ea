package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/admissionprob"
	"toucangw.example/core/calltree"
	"toucangw.example/core/routetable"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

// Guards against large replies under overload: the admission probabilities are
// sent to each node at most once per advertiseInterval.
func TestProbabilitiesAreSentOncePerInterval(t *testing.T) {
	var a advertisements
	now := time.Now()
	assert.True(t, a.due(now, "a"))
	assert.False(t, a.due(now.Add(advertiseInterval/2), "a"))
	assert.True(t, a.due(now.Add(advertiseInterval/2), "b"))
	assert.True(t, a.due(now.Add(advertiseInterval), "a"))
}

// Guards against a reply without admission probabilities being taken for the end
// of a restriction when they were only omitted.
func TestOmittedProbabilitiesKeepTheRestriction(t *testing.T) {
	g := New(Config{Zone: "a", Service: "front", Metrics: NewMetrics()})
	now := time.Now()
	restrict := func() {
		for i := range 50 {
			g.probabilities.Update(now.Add(time.Duration(i)*time.Millisecond), admissionprob.Received{Service: "deep", Route: "root", Probability: 0.3})
		}
	}
	restrict()
	q := &request{parent: &calltree.Parent{}, service: "deep", rootRoute: "root", route: &routetable.Route{}}
	answered := &reply{answer: http1.NewServerResponse(200, nil, nil)}
	answered.meta.ProbabilitiesOmitted = true
	before := g.probabilities.Probability(now, "root")
	for range 20 {
		g.updateAdmission(q, answered)
	}
	assert.InDelta(t, before, g.probabilities.Probability(now, "root"), 0.01)
	answered.meta.ProbabilitiesOmitted = false
	time.Sleep(60 * time.Millisecond)
	g.updateAdmission(q, answered)
	assert.Greater(t, g.probabilities.Probability(now, "root"), before+0.05)
}

// Guards against requests of clients being shed because one of their calls is refused as a crashing request.
func TestQuarantinedCallShedsNoRequests(t *testing.T) {
	g := testGateway()
	q := &request{parent: &calltree.Parent{}, service: "deep", rootRoute: "root", route: &routetable.Route{}}
	for range 20 {
		g.updateAdmission(q, rejected(verdict.Refuse(verdict.Quarantined, "")))
	}
	assert.InDelta(t, 1, g.probabilities.Probability(time.Now(), "root"), 0.01)
}
