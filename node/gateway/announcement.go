package gateway

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/directory"
)

// announcement returns what the head of an upstream's answer announces. An answer
// without the signature, such as a refusal, need not repeat a limit, so that it
// does not end one; neither does a malformed one.
func (g *Gateway) announcement(id string, h http.Header) advisory.Announcement {
	names := &g.cfg.Headers
	a := advisory.Announcement{Leaving: h.Get(names.Leaving) == "1"}
	text := h.Get(names.RateLimit)
	if text == "" {
		if h.Get(names.Signature) != "" {
			a.Limit = &advisory.Limit{}
		}
		return a
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !validRate(rate) {
		g.cfg.Logger.Debug("rate limit of an upstream ignored", "upstream", id, "value", text)
		return a
	}
	a.Limit = &advisory.Limit{Active: true, PerSecond: rate}
	return a
}

// instanceOf returns the incarnation of a listed upstream.
func instanceOf(u *directory.Upstream) advisory.Instance {
	return advisory.Instance{ID: u.ID, StartedAt: u.StartedAt.UnixMilli()}
}

// localAnnouncements holds what the present incarnation of the local upstream has
// announced. It is safe for concurrent use.
type localAnnouncements struct {
	mu       sync.Mutex
	instance advisory.Instance
	state    advisory.State
}

// turnTo makes an incarnation the present one, unless it is already. It reports false
// if a later one of the same ID is present. l.mu must be held.
func (l *localAnnouncements) turnTo(i advisory.Instance) bool {
	if l.instance.ID == i.ID && i.StartedAt < l.instance.StartedAt {
		return false
	}
	if l.instance != i {
		l.instance, l.state = i, advisory.State{}
	}
	return true
}

// follow makes the incarnation that the store shows the present one, unless a later
// one has answered.
func (l *localAnnouncements) follow(local *directory.LocalUpstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := advisory.Instance{ID: local.ID, StartedAt: local.StartedAt.UnixMilli()}
	if i.StartedAt < l.instance.StartedAt && !local.PreviousIDs[l.instance.ID] {
		return
	}
	l.turnTo(i)
}

// record adds an announcement of an incarnation. Before is the state until then, also
// if it was that of another one. What an earlier incarnation of the present one has
// announced is ignored.
func (l *localAnnouncements) record(now time.Time, i advisory.Instance, a advisory.Announcement) (before, after advisory.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.state
	if l.turnTo(i) {
		l.state = l.state.With(now, a)
	}
	return before, l.state
}

// current returns what an incarnation has announced. A sender may know an earlier
// start of it.
func (l *localAnnouncements) current(i advisory.Instance) advisory.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instance.ID != i.ID || i.StartedAt > l.instance.StartedAt {
		return advisory.State{}
	}
	return l.state
}

// adopt takes over a rate limit that an incarnation has announced to another node,
// unless an answer has told this node about the limit. It reports whether it did.
func (l *localAnnouncements) adopt(i advisory.Instance, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.turnTo(i) || l.state.Limit.Active || !l.state.LimitAt.IsZero() {
		return false
	}
	l.state.Limit = advisory.Limit{Active: true, PerSecond: perSecond}
	return true
}

// limit returns the rate limit that the local upstream has announced last.
func (l *localAnnouncements) limit() advisory.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Limit
}

// presentInstance returns the incarnation that runs a request which is sent now. Its
// sender may know an earlier start of it.
func (g *Gateway) presentInstance(f *forward) advisory.Instance {
	i := f.instance()
	if local := g.localUpstream.Load(); local != nil && local.ID == i.ID {
		i.StartedAt = max(i.StartedAt, local.StartedAt.UnixMilli())
	}
	return i
}

// onLocalAnswer records what the local upstream announces in the head of an
// answer to a request for an incarnation of it.
func (g *Gateway) onLocalAnswer(i advisory.Instance, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return // another upstream has answered
	}
	id := i.ID
	local := g.localUpstream.Load()
	if local == nil || local.OlderThan(time.UnixMilli(i.StartedAt)) {
		g.notifyUpstream(id)
	} else if local.ID != id {
		return
	}
	a := g.announcement(id, h)
	before, after := g.announced.record(time.Now(), i, a)
	if after.Leaving && !before.Leaving {
		g.cfg.Logger.Info("upstream leaves", "upstream", id, "service", g.cfg.Service, "source", "own answer")
	}
	if before.Limit != after.Limit {
		g.applyRateLimit()
		g.cfg.Logger.Info("upstream rate limit", "upstream", id, "active", after.Limit.Active,
			"per_s", after.Limit.PerSecond, "before_per_s", before.Limit.PerSecond)
	}
}

// notifyUpstream reports an incarnation of the local upstream of which its entry has
// not told yet.
func (g *Gateway) notifyUpstream(id string) {
	if g.cfg.OnUpstream != nil {
		g.cfg.OnUpstream(id)
	}
}

// knownRateLimit returns the rate limit that an upstream has announced in answers
// that this node passed on, or nil.
func (g *Gateway) knownRateLimit(u *directory.Upstream) *float64 {
	limit := g.advisories.State(instanceOf(u)).Limit
	if !limit.Active {
		return nil
	}
	return &limit.PerSecond
}

// adoptRateLimit takes over the rate limit of the local upstream from the sender of
// a request if this node does not know it, because it has just started.
func (g *Gateway) adoptRateLimit(f *forward) {
	perSecond := f.meta.RateLimit
	if perSecond == nil || !validRate(*perSecond) {
		return
	}
	local := g.localUpstream.Load()
	if local != nil && local.ID != f.meta.Upstream && !local.OlderThan(time.UnixMilli(f.meta.StartedAt)) {
		return
	}
	if g.announced.adopt(f.instance(), *perSecond) {
		g.cfg.Logger.Info("upstream rate limit", "upstream", f.meta.Upstream, "active", true, "per_s", *perSecond,
			"source", f.meta.Sender)
		g.applyRateLimit()
	}
}

func validRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }

// onAnswer records what an upstream announces in an answer that this node passes
// on.
func (g *Gateway) onAnswer(u *directory.Upstream, r *reply) {
	if r.answer == nil {
		return
	}
	before, after := g.recordAnnouncement(instanceOf(u), r.answer.Header)
	if after.Leaving && !before.Leaving {
		g.cfg.Logger.Info("upstream leaves", "upstream", u.ID, "service", u.Service, "source", "answer")
	}
}

// recordAnnouncement records the announcement in the head of an answer. Answers of
// upstreams that have announced nothing need no record.
func (g *Gateway) recordAnnouncement(i advisory.Instance, h http.Header) (before, after advisory.State) {
	a := g.announcement(i.ID, h)
	before = g.advisories.State(i)
	if before == (advisory.State{}) && !a.Leaving && (a.Limit == nil || !a.Limit.Active) {
		return before, before
	}
	return g.advisories.Record(time.Now(), i, a)
}
