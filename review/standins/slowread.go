package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// largeAnswer is the length of a large answer, siteAnswer that of the longest
	// answers of lot-signoff in the site file.
	largeAnswer = 1 << 20
	siteAnswer  = 30_000
	// smallWindow is the receive buffer of the clients of the second group.
	smallWindow = 4 << 10
	// readPause is how long a slow client leaves an answer unread.
	readPause = 2500 * time.Millisecond
)

// slowReader sends requests from clients on kept connections that leave the answer
// unread for readPause. The first group sends downloads with large answers, the
// second unsafe requests, has a small window and gets answers of the site's size.
func slowReader(r *run) error {
	for range 3 {
		if _, err := r.add("front", 40, 10*time.Millisecond); err != nil {
			return err
		}
	}
	for service, size := range map[string]int{"files": largeAnswer, "release": siteAnswer} {
		for range 2 {
			h, err := r.add(service, 40, 50*time.Millisecond)
			if err != nil {
				return err
			}
			body := bytes.Repeat([]byte("0123456789"), size/10)
			h.backend.answer = func(string) []byte { return body }
		}
	}
	r.configure(1, route{downloadRoute, "download", "files", 10 * time.Second, 1},
		route{signoffRoute, "unsafe", "release", 10 * time.Second, 0}, route{"/front/", "safe", "front", time.Second, 1})
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var lost sync.Map
	for i := range 12 {
		h := r.hosts[i%3]
		c := slowClient{run: r, host: h, name: fmt.Sprintf("files%d", i), method: "GET", path: downloadRoute}
		if i >= 6 {
			c = slowClient{run: r, host: h, name: fmt.Sprintf("release%d", i), method: "POST", path: signoffRoute, window: smallWindow}
		}
		clients.Go(func() {
			if id := c.requests(); id != "" {
				lost.Store(id, true)
			}
		})
	}
	clients.Wait()
	n := 0
	lost.Range(func(any, any) bool { n++; return true })
	r.record.line("%d answers cut", n)
	if n > 3 {
		r.breaks("LOST: %d requests from kept connections were run by sound backends and their connections were closed without a whole answer", n)
	}
	return nil
}

// slowClient is a client that reads slowly.
type slowClient struct {
	run          *run
	host         *host
	name         string
	method, path string
	window       int // receive buffer; 0 for the usual one
}

// requests sends requests one after the other on a kept connection. It returns the id
// of a request that ran and whose connection ended without a whole answer.
func (s slowClient) requests() string {
	const limit = 10 * time.Second
	c, err := dialWindow(s.host.client(), s.window)
	if err != nil {
		s.run.record.line("%s: %v", s.name, err)
		return ""
	}
	defer func() { _ = c.nc.Close() }()
	for n := range 4 {
		id := fmt.Sprintf("%s-%d", s.name, n)
		s.run.record.line("sent     %s", id)
		if err := c.send(s.method, s.path+id, id, limit, ""); err != nil {
			s.run.record.line("send %s: %v", id, err)
			return ""
		}
		sent := time.Now()
		if s.run.trouble && n > 0 { // the first answer is read at once, so that the connection is a kept one
			time.Sleep(readPause)
		}
		a := c.receive(s.method, sent.Add(limit))
		s.run.record.line("answered %s after %.2f s: status %d, %d bytes, complete %v, error %v",
			id, time.Since(sent).Seconds(), a.status, len(a.body), a.complete, a.err)
		if a.complete {
			continue
		}
		if s.run.ran(id) == 0 {
			return ""
		}
		return id
	}
	return ""
}

// dialWindow connects with a receive buffer of the given size; 0 for the usual one.
func dialWindow(address string, window int) (*clientConn, error) {
	if window == 0 {
		return dialClient(address)
	}
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
		return err
	}}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return newClientConn(nc), nil
}
