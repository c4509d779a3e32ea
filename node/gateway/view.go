package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"toucangw.example/core/directory"
	"toucangw.example/core/routetable"
	"toucangw.example/node/discovery"
	"toucangw.example/node/http1"
)

// peerView is the response to a node that asks for the view of this one.
type peerView struct {
	// Document is the active configuration; absent if the asking node has it.
	Document []byte `json:"document,omitempty"`
	// Era and Revision are those of the store when the upstreams were read.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Upstreams is absent if Same is set: the asking node has the same entries.
	Upstreams []directory.Upstream `json:"upstreams"`
	Same      bool                 `json:"same,omitempty"`
	// AgeMS is the time since the store was read, milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
}

func (v *peerView) position() directory.Position {
	return directory.Position{Era: v.Era, Revision: v.Revision}
}

// changeSignal wakes those that wait for a newer view. It is safe for concurrent
// use.
type changeSignal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next change.
func (s *changeSignal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *changeSignal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// respondView sends the configuration and the upstreams to another node. If that
// node has both already, the response waits for a change, for at most the time
// that the node allows.
func (g *Gateway) respondView(x *http1.Exchange, meta *forwardMeta) {
	timer := time.NewTimer(time.Duration(meta.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := g.viewChanged.wait()
		c, hosts := g.routes.Load(), g.hosts.Load()
		if c == nil || hosts == nil {
			_ = x.Respond(http1.NewServerResponse(http.StatusNotFound, nil, nil))
			return
		}
		if g.draining.Load() && meta.WaitMS > 0 {
			_ = x.Respond(http1.NewServerResponse(http.StatusServiceUnavailable, nil, nil))
			return
		}
		if !hasNews(meta, c, hosts) {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-x.Context().Done():
				x.Abort()
				return
			}
			c, hosts = g.routes.Load(), g.hosts.Load()
		}
		_ = x.Respond(http1.NewServerResponse(http.StatusOK, nil, []byte(encode(g.viewFor(meta, c, hosts)))))
		return
	}
}

// hasNews reports whether a node with the given knowledge lacks something.
func hasNews(known *forwardMeta, c *routetable.Config, hosts *directory.Snapshot) bool {
	at := directory.Position{Era: known.Era, Revision: known.Revision}
	return c.Version > known.Version || !hosts.Before(at) && hosts.Fingerprint() != known.Fingerprint
}

func (g *Gateway) viewFor(known *forwardMeta, c *routetable.Config, hosts *directory.Snapshot) *peerView {
	view := &peerView{Era: hosts.Era, Revision: hosts.Revision, AgeMS: g.listAge().Milliseconds()}
	if c.Version > known.Version {
		view.Document = c.Document
	}
	if hosts.Fingerprint() == known.Fingerprint {
		view.Same = true
		return view
	}
	for _, u := range hosts.All() {
		view.Upstreams = append(view.Upstreams, *u)
	}
	return view
}

// View fetches the configuration document and the upstreams of another node.
func (g *Gateway) View(ctx context.Context, peer string) ([]byte, *directory.Snapshot, error) {
	view, err := g.fetchView(ctx, peer, &forwardMeta{})
	if err != nil {
		return nil, nil, err
	}
	return view.Document, directory.NewSnapshot(view.position(), view.Upstreams), nil
}

// Follow returns the view of the node in front of an upstream once it is newer
// than what is known, or after wait.
func (g *Gateway) Follow(ctx context.Context, reader *directory.Upstream, known discovery.Known, wait time.Duration) (discovery.View, error) {
	view, err := g.fetchView(ctx, g.peerAddress(reader), &forwardMeta{
		Version: known.Version, Era: known.Era, Revision: known.Revision, Fingerprint: known.Fingerprint, WaitMS: wait.Milliseconds(),
	})
	if err != nil {
		return discovery.View{}, err
	}
	out := discovery.View{Document: view.Document, Position: view.position(), Age: time.Duration(view.AgeMS) * time.Millisecond}
	if !view.Same {
		out.Upstreams = directory.NewSnapshot(view.position(), view.Upstreams)
	}
	return out, nil
}

func (g *Gateway) fetchView(ctx context.Context, peer string, known *forwardMeta) (*peerView, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := g.peerPool.Do(ctx, peer, &http1.Request{
		Method: http.MethodGet, Target: viewPath, Host: peer,
		Extra: []http1.Field{{Name: forwardHeader, Value: encode(known)}},
	})
	if err != nil {
		return nil, err
	}
	body, complete, err := response.ReadBody(maxViewSize)
	if err != nil {
		return nil, err
	}
	if !complete || response.Status != http.StatusOK {
		response.Close()
		return nil, fmt.Errorf("status %d, %d bytes", response.Status, len(body))
	}
	view := &peerView{}
	if err := json.Unmarshal(body, view); err != nil {
		return nil, fmt.Errorf("view of a node: %w", err)
	}
	view.Upstreams = slices.DeleteFunc(view.Upstreams, func(u directory.Upstream) bool { return u.Check() != nil })
	return view, nil
}
