package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stop-during-download"] = stopDuringDownload }

const (
	// pieceSize bytes of a paced answer are sent each pieceTime, pieces in all.
	pieceSize = 64 << 10
	pieceTime = 30 * time.Millisecond
	pieces    = 110
	// downloadTimeout is the timeout of the route, downloadLimit the time limit of the
	// clients.
	downloadTimeout = 5 * time.Second
	downloadLimit   = 6 * time.Second
	// downloadWork is the work on each request of the second part.
	downloadWork = 900 * time.Millisecond
)

// stopDuringDownload stops a node with SIGTERM. Until the platform has seen two
// misses, the clients on its machine send downloads, which take 3.3 s each. After the
// node is back, it stops a node in front of a backend, while the same clients send
// downloads on which the backends work for downloadWork before they answer.
func stopDuringDownload(r *run) error {
	for range 3 {
		if _, err := r.add("front", 40, 10*time.Millisecond); err != nil {
			return err
		}
	}
	var work atomic.Int64
	for range 3 {
		h, err := r.add("files", 121, 20*time.Millisecond)
		if err != nil {
			return err
		}
		h.backend.serve = func(w http.ResponseWriter, _ *http.Request, id string) {
			time.Sleep(time.Duration(work.Load()))
			pacedAnswer(w, id)
		}
	}
	r.configure(1, route{downloadRoute, "download", "files", downloadTimeout, 1}, route{"/front/", "safe", "front", time.Second, 1})
	if err := r.startAll(); err != nil {
		return err
	}
	h := r.hosts[0]
	stop := make(chan struct{})
	platform := watchReadiness(r, []*host{h, r.hosts[1], r.hosts[2]}, stop)
	time.Sleep(4200 * time.Millisecond) // shortly after the platform has asked
	terms := &termTimes{at: map[*host]time.Time{}}
	downloads(r, h, h, "a", platform, terms)
	work.Store(int64(downloadWork))
	time.Sleep(3 * time.Second) // until the platform has asked again
	downloads(r, h, r.hosts[3], "b", platform, terms)
	close(stop)
	if n := r.cutInTouch; n > 3 {
		r.breaks("LOST: node-1, in touch, passed %d requests on and ended them in the middle of the answer", n)
	}
	return nil
}

// downloads sends downloads to one node while another one, or the same, is stopped and
// started again.
func downloads(r *run, h, stopped *host, name string, platform *readiness, terms *termTimes) {
	var open sync.WaitGroup
	defer open.Wait()
	if r.trouble {
		open.Go(func() { restartPlanned(r, stopped, terms) })
	}
	time.Sleep(100 * time.Millisecond)
	for n := 0; n < 18 && platform.takes(h); n++ {
		id := fmt.Sprintf("%s%02d", name, n)
		open.Go(func() { download(r, h, stopped, id, terms) })
		time.Sleep(100 * time.Millisecond)
	}
}

// pacedAnswer sends a large answer as a slow link does.
func pacedAnswer(w http.ResponseWriter, id string) {
	w.Header().Set("Response-Signature", "sig."+id)
	w.Header().Set("Content-Length", fmt.Sprint(pieces*pieceSize))
	piece := bytes.Repeat([]byte("x"), pieceSize)
	for range pieces {
		if _, err := w.Write(piece); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(pieceTime)
	}
}

func download(r *run, h, stopped *host, id string, terms *termTimes) {
	c, err := dialClient(h.client())
	if err != nil {
		r.record.line("%s: %v", id, err)
		return
	}
	defer func() { _ = c.nc.Close() }()
	// A short request first, so that the connection is a kept one.
	if err := c.send("GET", "/front/"+id, "k"+id, time.Second, ""); err != nil {
		return
	}
	if first := c.receive("GET", time.Now().Add(time.Second)); !first.complete {
		r.record.line("%s: first request of the connection: status %d, error %v", id, first.status, first.err)
		return
	} else if first.close {
		if err := c.again(h.client()); err != nil {
			return
		}
	}
	if err := c.send("GET", downloadRoute+id, id, downloadLimit, ""); err != nil {
		return
	}
	sent := time.Now()
	r.record.line("sent     %s", id)
	a := c.receive("GET", sent.Add(downloadLimit))
	took := time.Since(sent)
	r.record.line("answered %s after %.2f s: status %d, %d bytes, complete %v, error %v", id, took.Seconds(), a.status, len(a.body), a.complete, a.err)
	if a.complete || r.ran(id) == 0 || took >= downloadTimeout {
		return
	}
	if stopped != h {
		r.record.line("cut      %s by a node in touch", id)
		r.mu.Lock()
		r.cutInTouch++
		r.mu.Unlock()
		return
	}
	term := terms.of(h)
	if time.Since(term) >= r.grace*5/6 {
		r.record.line("excused  %s: its backend was at work in the last sixth of the grace period", id)
		return
	}
	r.breaks("LOST: %s, sent %.2f s after SIGTERM, was run and its connection ended %.2f s after SIGTERM with %d of %d bytes: %v",
		id, sent.Sub(term).Seconds(), time.Since(term).Seconds(), len(a.body), pieces*pieceSize, a.err)
}
