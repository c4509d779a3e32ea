package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientConn is a client's connection to the node on its machine.
type clientConn struct {
	nc net.Conn
	br *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return newClientConn(nc), nil
}

// again connects anew after an answer that closed the connection.
func (c *clientConn) again(address string) error {
	_ = c.nc.Close()
	next, err := dialClient(address)
	if err == nil {
		*c = *next
	}
	return err
}

func newClientConn(nc net.Conn) *clientConn { return &clientConn{nc: nc, br: bufio.NewReader(nc)} }

func (c *clientConn) send(method, path, id string, limit time.Duration, body string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %s\r\n", method, path, virtualHost, id,
		strconv.FormatInt(limit.Milliseconds(), 10))
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	_, err := io.WriteString(c.nc, b.String())
	return err
}

// answer is what a client got for a request.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	close    bool
	err      error
}

// receive reads an answer until a deadline.
func (c *clientConn) receive(method string, until time.Time) answer {
	_ = c.nc.SetReadDeadline(until)
	r, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: body, complete: err == nil, close: r.Close, err: err}
}
